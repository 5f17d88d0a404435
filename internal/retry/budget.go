// Package retry bounds how much is sent again, so that repeats never grow into a load of their own.
package retry

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/window"
)

const (
	// ratioPart, slackPart and busyPart keep a node below its share, because windows slide and nodes differ. Half of the slack
	// that is used is divided among all nodes and half among those that have requests: in a fleet of 986 nodes callers use some
	// forty, and a share of all left them less than one repeat in ten seconds beside the ratio. When callers move from some
	// nodes to others both have spent busyPart in one window, which the rest of the slack covers.
	ratioPart = 0.7
	slackPart = 0.3
	busyPart  = 0.3
)

// Nodes is who shares the slack.
type Nodes struct {
	All  int
	Busy int // those that have requests, this one included; 0 if this one has none, or not for long enough to know
}

// Limits are what all nodes together may send again of one service's requests in a window.
type Limits struct {
	Ratio  float64 // of the requests
	Slack  float64 // requests
	Window time.Duration
}

// Budget is one node's share of the repeats for one service. It keeps to it without talking to other nodes:
// the ratio holds for each node's own requests, and the slack is divided among the nodes.
type Budget struct {
	limits Limits
	nodes  func() Nodes

	mu       sync.Mutex
	requests *window.Counter
	repeats  *window.Counter
}

// NewBudget returns a Budget whose windows count from start; nodes tells how many nodes share the slack.
func NewBudget(limits Limits, nodes func() Nodes, start time.Time) *Budget {
	return &Budget{limits: limits, nodes: nodes, requests: window.NewCounter(limits.Window, start), repeats: window.NewCounter(limits.Window, start)}
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.Add(now)
}

// Take spends one repeat and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	share := b.nodes().share()
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := ratioPart*b.limits.Ratio*float64(b.requests.Sum(now)) + share*b.limits.Slack
	if float64(b.repeats.Sum(now)+1) > allowed {
		return false
	}
	b.repeats.Add(now)
	return true
}

// share returns the part of the slack that is this node's.
func (n Nodes) share() float64 {
	all := max(1, n.All)
	share := slackPart / float64(all)
	if n.Busy > 0 {
		share += busyPart / float64(min(n.Busy, all))
	}
	return share
}
