// Package picker chooses the endpoint for each request: a replica group whose members have all been ready, or a standalone
// endpoint. The choice depends on the running requests of all nodes at each endpoint and on what this node has observed of it.
package picker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/ratelimit"
)

const (
	// maxGroupQueue is how many requests may wait in the queue of a full replica group. More of them would rarely be answered
	// within their objective; a refused request that the caller retries is in time more often.
	maxGroupQueue = 2
	// healthRetention is how long the health of an unused group or endpoint is kept.
	healthRetention = 30 * time.Second
)

// Options configures a Picker.
type Options struct {
	DataCentre string // of this node
	Directory  *endpoint.Directory
	// Others returns the totals of what the other nodes have reported, such as their loads and the groups they suspect.
	Others func(now time.Time) *gossip.Totals
	// Retiring returns the replica groups that the leader is about to end.
	Retiring func(now time.Time) map[string]bool
	// OnStall is called when a replica group begins to stall at this node; it must not block. It may be nil.
	OnStall func()
	// Limits holds the rate limits that endpoints announce; nil for a table private to the Picker.
	Limits *ratelimit.Table
	// Lost reports whether the leader has found that a replica group has lost a member. It may be nil.
	Lost func(group string, now time.Time) bool
}

// Picker chooses an endpoint for each request and counts the requests of this node that run there.
type Picker struct {
	options Options

	mu                 sync.Mutex
	health             map[string]*health
	runningByWorkspace map[string]int
	wasComplete        map[string]bool // groups whose members have all been ready at the same time
	waiting            []*waiter
	waitingByModel     map[string]int
	runningByModel     map[string]int
	arrivals           map[string]*arrivals // arrival rates by model
	pauses             pauses
	cold               *ratelimit.ColdLimiter
	randomState        uint64
}

// New returns a Picker.
func New(o Options) *Picker {
	if o.Limits == nil {
		o.Limits = ratelimit.NewTable(clock.Now())
	}
	return &Picker{
		options: o, health: make(map[string]*health), runningByWorkspace: make(map[string]int), wasComplete: make(map[string]bool),
		waitingByModel: make(map[string]int), runningByModel: make(map[string]int), arrivals: make(map[string]*arrivals), pauses: make(pauses),
		cold: ratelimit.NewColdLimiter(clock.Now()),
	}
}

// Acquire returns a place for the request. It waits for one for up to w.MaxWait.
func (p *Picker) Acquire(ctx context.Context, w *Requirements) (*Place, error) {
	p.mu.Lock()
	p.recordArrival(w, clock.Now())
	if !p.hasWaiterFor(w) {
		place, err := p.tryAcquire(w, clock.Now(), false)
		if place != nil || err != nil && (w.MaxWait <= 0 || isPaused(err)) {
			p.mu.Unlock()
			return place, err
		}
	}
	q := p.enqueue(w)
	p.mu.Unlock()
	timer := time.NewTimer(w.MaxWait)
	defer timer.Stop()
	select {
	case place := <-q.granted:
		return place, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dequeue(q)
	select {
	case place := <-q.granted:
		return place, nil
	default:
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	place, err := p.tryAcquire(w, clock.Now(), true)
	if place == nil && err == nil {
		err = ErrNoPlace
	}
	return place, err
}

// AcquireBeside returns a place for another attempt of a request that still waits at an endpoint, or nil if there is none now. It does
// not wait. With useQueue set it also takes a place in the queue of a full replica group, and one for which other requests wait.
func (p *Picker) AcquireBeside(w *Requirements, useQueue bool) *Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !useQueue && p.hasWaiterFor(w) {
		return nil
	}
	now := clock.Now()
	place, err := p.tryAcquire(w, now, useQueue)
	if err != nil || place == nil {
		return nil
	}
	p.recordArrival(w, now)
	return place
}

// recordArrival counts a request in its model's arrival rates. Requests without a model are not counted.
func (p *Picker) recordArrival(w *Requirements, now time.Time) {
	if w.Model == "" {
		return
	}
	if p.arrivals[w.Model] == nil {
		p.arrivals[w.Model] = &arrivals{updated: now}
	}
	p.arrivals[w.Model].add(w, now)
}

// tryAcquire returns a place if one is free, and neither a place nor an error if the request has to wait. With useQueue set it
// also takes a place in the queue of a full replica group.
func (p *Picker) tryAcquire(w *Requirements, now time.Time, useQueue bool) (*Place, error) {
	others := p.options.Others(now)
	p.options.Limits.MergeReports(others.Limits, now)
	candidates := p.candidates(w, others, now)
	if w.SkipStalled {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.avoidance == avoidStalled || c.recovering })
	}
	if len(candidates) == 0 {
		return nil, ErrNoEndpoint
	}
	if left := shortestPause(candidates); left > w.MaxWait {
		return nil, &PausedError{left}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.full(w, useQueue) })
	for len(candidates) > 0 {
		best := p.best(w, candidates)
		if p.admit(&best, others, now) {
			return p.reserve(w, &best, now), nil
		}
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.endpoint == best.endpoint })
	}
	return nil, nil //nolint:nilnil // neither a place nor an error: the request has to wait
}

// admit reports whether the candidate's rate limits allow one more request, and counts the request if so.
func (p *Picker) admit(c *candidate, others *gossip.Totals, now time.Time) bool {
	if c.coldPerSecond > 0 && !p.cold.Admit(c.endpoint.ID, c.coldPerSecond, others, now) {
		return false
	}
	return p.options.Limits.Admit(c.endpoint.ID, others.Limits, now)
}

// best returns the cheapest candidate: for replica groups the cheapest of a random sample, otherwise the cheapest of all.
func (p *Picker) best(w *Requirements, candidates []candidate) candidate {
	if w.Model != "" {
		candidates = p.sample(candidates)
	}
	return slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
}

func (p *Picker) reserve(w *Requirements, c *candidate, now time.Time) *Place {
	place := &Place{Endpoint: c.endpoint, Group: c.group, Requests: c.load, picker: p, workspace: w.Workspace, model: w.Model}
	h := p.healthOf(place.Key(), now)
	h.running++
	p.runningByWorkspace[w.Workspace]++
	p.runningByModel[w.Model]++
	return place
}

func (p *Picker) release(place *Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.healthOf(place.Key(), now).running--
	p.runningByModel[place.model]--
	if p.runningByWorkspace[place.workspace]--; p.runningByWorkspace[place.workspace] <= 0 {
		delete(p.runningByWorkspace, place.workspace)
	}
	p.grant(now)
}

func (p *Picker) healthOf(key string, now time.Time) *health {
	h, ok := p.health[key]
	if !ok {
		h = &health{}
		p.health[key] = h
	}
	h.lastUsed = now
	return h
}

// GrantWaiting grants places to waiting requests after a change of the directory or of the other nodes' loads.
func (p *Picker) GrantWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant(clock.Now())
}

// Sweep removes pauses that have ended and the health of groups and endpoints that have not been used for healthRetention.
func (p *Picker) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.sweep(now)
	p.cold.Sweep(now)
	for key, h := range p.health {
		if h.running == 0 && now.Sub(h.lastUsed) > healthRetention {
			delete(p.health, key)
			delete(p.wasComplete, key)
		}
	}
}
