// Package retry limits how many requests are retried, so that retries cannot overload the endpoints.
//
// The limits bound the retries by all processes together within any window. Each process keeps a token bucket, from which a
// retry takes one token. The bucket of a new process is empty, because the process before it on the same VM may have spent all
// of its tokens within the same window. Each request earns a part of the ratio, and the bucket holds no more of these tokens
// than another part of the ratio of the requests within the last window. So the tokens spent within a window have been earned by
// the requests within it or held at its start, which the requests of the window before bound, and the two parts add up to less
// than one. This holds whatever a process believes about others, however often processes start, and wherever callers move.
//
// The slack is divided by the number of nodes. It fills the bucket over a window, so that processes that follow each other on a
// VM get no more of it than one that stays. This keeps to the limits if no process counts less than two thirds of the nodes
// there have been within a window. A process that does not know the fleet gets no slack.
package retry

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/window"
)

const (
	// earnedRatioFactor is the part of the ratio that each request earns, and heldRatioFactor the part of the ratio of the last
	// window's requests that the bucket may hold. The rest covers retries that reach their endpoint up to MaxDelay after they
	// were taken.
	earnedRatioFactor = 0.6
	heldRatioFactor   = 0.35
	// slackFactor is the part of the slack that the buckets of all nodes may hold, and that flows into them within a window. The
	// rest covers wrong counts of the nodes and late arrivals.
	slackFactor = 0.32
	// busySlackFactor is the part of the used slack that is divided among busy nodes only. In a fleet of 986 nodes callers use
	// about 40, and an equal part of the slack leaves each of them less than one retry per ten seconds.
	busySlackFactor = 0.85
	// maxDelayDivisor divides the window into the longest time from the taking of a retry to its arrival at an endpoint.
	maxDelayDivisor = 20
)

// Use is what a retry is for. When few retries are left, those that are worth most to callers get them.
type Use int

const (
	// Hedge is an attempt beside one that may still be answered.
	Hedge Use = iota
	// Resend is an attempt after one that has failed before anything was passed on to the caller, who can still be told so.
	Resend
	// Resume is an attempt that continues a stream which the caller has begun to receive.
	Resume
)

// reserves are the parts of the budget's size that are left for uses that are worth more. A process younger than a window, whose
// budget is still filling, reserves nothing.
var reserves = [...]float64{Hedge: 0.5, Resend: 0.2, Resume: 0}

// Nodes counts the nodes that share the slack.
type Nodes struct {
	All  int // 0 if the fleet is not known yet
	Busy int // nodes that have requests, including this one; 0 if this one has none, or has had them too briefly to count the others
}

// Limits bounds the retries of one service's requests by all nodes together within a window.
type Limits struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries per window regardless of the number of requests
	Window time.Duration
}

// MaxDelay returns how long after it was taken a retry may be sent. One that is sent later has to be taken again.
func (l Limits) MaxDelay() time.Duration { return l.Window / maxDelayDivisor }

// Budget is one process's part of the retries of one service. It needs no communication with other processes but for the counts
// of nodes.
type Budget struct {
	limits Limits
	nodes  func() Nodes
	start  time.Time

	mu       sync.Mutex
	requests *window.Counter
	retries  *window.Counter // only reported
	tokens   float64
	slack    float64   // this node's part of the slack when tokens was updated
	updated  time.Time // when tokens was updated
}

// NewBudget returns a Budget of the process that was started at start. Times passed to its methods must not be before start.
// nodes returns the nodes that share the slack at present.
func NewBudget(limits Limits, nodes func() Nodes, start time.Time) *Budget {
	return &Budget{
		limits: limits, nodes: nodes, start: start, updated: start, slack: nodes().slackShare() * limits.Slack,
		requests: window.NewCounter(limits.Window, start), retries: window.NewCounter(limits.Window, start),
	}
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(nodes, now)
	b.requests.Add(now)
	b.tokens = min(b.tokens+earnedRatioFactor*b.limits.Ratio, b.size(now))
}

// State is what a Budget's next decision is based on.
type State struct {
	Available float64       // retries that may be taken now
	Size      float64       // highest number of retries that may be available now
	Requests  int           // in the window that ends now
	Retries   int           // in the same window
	Nodes     Nodes         // among which the slack is divided
	Age       time.Duration // of this process
}

// State returns the state at now.
func (b *Budget) State(now time.Time) State {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(nodes, now)
	return b.stateLocked(nodes, now)
}

func (b *Budget) stateLocked(nodes Nodes, now time.Time) State {
	return State{
		Available: b.tokens, Size: b.size(now), Requests: b.requests.Sum(now), Retries: b.retries.Sum(now), Nodes: nodes, Age: now.Sub(b.start),
	}
}

// Take reports whether a retry is allowed for the given use, and takes it if so. It also returns the state on which that was
// decided.
func (b *Budget) Take(use Use, now time.Time) (State, bool) {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(nodes, now)
	s := b.stateLocked(nodes, now)
	reserve := 0.0
	if s.Age >= b.limits.Window {
		reserve = reserves[use] * max(0, s.Size-1)
	}
	if b.tokens < 1+reserve {
		return s, false
	}
	b.tokens--
	b.retries.Add(now)
	return s, true
}

// Return gives back a retry that was taken at taken and has not been sent. After MaxDelay it is lost.
func (b *Budget) Return(taken, now time.Time) {
	nodes := b.nodes()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(nodes, now)
	b.retries.Remove(taken, now)
	if now.Sub(taken) <= b.limits.MaxDelay() {
		b.tokens = min(b.tokens+1, b.size(now))
	}
}

// Renew reports whether a retry that was taken at taken may be sent now. After MaxDelay it has to be taken again.
func (b *Budget) Renew(use Use, taken, now time.Time) bool {
	if now.Sub(taken) <= b.limits.MaxDelay() {
		return true
	}
	b.Return(taken, now)
	_, ok := b.Take(use, now)
	return ok
}

// update adds the slack that has flowed into the bucket since the last update. That is the smaller of this node's parts of the
// slack then and now, so that a part that has grown counts only from now on.
func (b *Budget) update(nodes Nodes, now time.Time) {
	slack := nodes.slackShare() * b.limits.Slack
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens += min(slack, b.slack) * float64(elapsed) / float64(b.limits.Window)
		b.updated = now
	}
	b.slack = slack
	b.tokens = min(b.tokens, b.size(now))
}

// size returns how many tokens the bucket can hold.
func (b *Budget) size(now time.Time) float64 {
	return heldRatioFactor*b.limits.Ratio*float64(b.requests.Sum(now)) + b.slack
}

// slackShare returns the fraction of the slack that the bucket of this node can hold, and that flows into it within a window.
func (n Nodes) slackShare() float64 {
	if n.All <= 0 {
		return 0
	}
	share := (1 - busySlackFactor) / float64(n.All)
	if n.Busy > 0 {
		share += busySlackFactor / float64(min(n.Busy, n.All))
	}
	return slackFactor * share
}
