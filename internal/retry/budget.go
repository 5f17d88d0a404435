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

// countedFor returns the length of the window in which retries are counted. It is longer than the window of the limits, because
// a counter drops events up to a slice early, and a retry arrives at its endpoint after it has been counted.
func (l Limits) countedFor() time.Duration { return l.Window + l.Window/10 }

// Budget is one node's share of the retries of one service. It needs no communication with other nodes: the ratio applies to
// each node's own requests, and the slack is divided among the nodes.
type Budget struct {
	limits Limits
	nodes  func() Nodes
	start  time.Time

	mu       sync.Mutex
	requests *window.Counter
	retries  *window.Counter
}

// NewBudget returns a Budget. Times passed to its methods must not be before start. nodes returns the nodes that share the
// slack at present.
func NewBudget(limits Limits, nodes func() Nodes, start time.Time) *Budget {
	return &Budget{
		limits: limits, nodes: nodes, start: start,
		requests: window.NewCounter(limits.Window, start), retries: window.NewCounter(limits.countedFor(), start),
	}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.Add(now)
}

// State is what a Budget's next decision is based on.
type State struct {
	Requests int           // in the window that ends now
	Retries  int           // in a slightly longer window
	Allowed  float64       // maximum of Retries
	Nodes    Nodes         // among which the slack is divided
	Age      time.Duration // of the process whose requests and retries are counted
}

// State returns the state at now.
func (b *Budget) State(now time.Time) State {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateLocked(nodes, now)
}

func (b *Budget) stateLocked(nodes Nodes, now time.Time) State {
	s := State{Requests: b.requests.Sum(now), Retries: b.retries.Sum(now), Nodes: nodes, Age: now.Sub(b.start)}
	s.Allowed = ratioFactor*b.limits.Ratio*float64(s.Requests) + nodes.slackShare()*b.limits.Slack
	return s
}

// Take reports whether a retry is allowed, and counts it if so. It also returns the state on which that was decided.
func (b *Budget) Take(now time.Time) (State, bool) {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateLocked(nodes, now)
	if float64(s.Retries+1) > s.Allowed {
		return s, false
	}
	b.retries.Add(now)
	return s, true
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
