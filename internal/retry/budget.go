// Package retry limits how many requests are retried, so that retries cannot overload the endpoints.
package retry

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/window"
)

const (
	// ratioFactor, allNodesSlackFactor and busyNodesSlackFactor keep each node below its exact share, because windows slide
	// and nodes differ. Half of the usable slack is divided among all nodes and half among busy nodes: in a fleet of 986
	// nodes, callers use about 40, and an equal share of the slack left each of these less than one retry per ten seconds in
	// addition to the ratio. When callers move to other nodes, the old and the new busy nodes both spend
	// busyNodesSlackFactor within one window; the unused slack covers this.
	ratioFactor          = 0.7
	allNodesSlackFactor  = 0.3
	busyNodesSlackFactor = 0.3
)

// Nodes counts the nodes that share the slack.
type Nodes struct {
	All  int
	Busy int // nodes that have requests, including this one; 0 if this one has none, or has had them too briefly to count the others
}

// Limits bounds the retries of one service's requests by all nodes together within a window.
type Limits struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries per window regardless of the number of requests
	Window time.Duration
}

// Budget is one node's share of the retries of one service. It needs no communication with other nodes: the ratio applies to
// each node's own requests, and the slack is divided among the nodes.
type Budget struct {
	limits Limits
	nodes  func() Nodes

	mu       sync.Mutex
	requests *window.Counter
	retries  *window.Counter
}

// NewBudget returns a Budget. Times passed to its methods must not be before start. nodes returns the nodes that share the
// slack at present.
func NewBudget(limits Limits, nodes func() Nodes, start time.Time) *Budget {
	return &Budget{limits: limits, nodes: nodes, requests: window.NewCounter(limits.Window, start), retries: window.NewCounter(limits.Window, start)}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.Add(now)
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	share := b.nodes().slackShare()
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := ratioFactor*b.limits.Ratio*float64(b.requests.Sum(now)) + share*b.limits.Slack
	if float64(b.retries.Sum(now)+1) > allowed {
		return false
	}
	b.retries.Add(now)
	return true
}

// slackShare returns the fraction of the slack that this node may use.
func (n Nodes) slackShare() float64 {
	all := max(1, n.All)
	share := allNodesSlackFactor / float64(all)
	if n.Busy > 0 {
		share += busyNodesSlackFactor / float64(min(n.Busy, all))
	}
	return share
}
