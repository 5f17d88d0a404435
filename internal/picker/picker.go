// Package picker chooses the endpoint for each request: a replica group whose members have all been ready, or
// an endpoint that serves alone, by the requests that all nodes have there and by what this node has seen of it.
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
	// overflow is how many requests may wait at a full replica group, by its own queue: more would hardly be answered
	// within their objective, and a refused one comes back in time more often.
	overflow = 2
	// forgetAfter is how long the health of what is not used is kept.
	forgetAfter = 30 * time.Second
)

// Options are what a Picker works with.
type Options struct {
	Zone      string
	Directory *endpoint.Directory
	// Others returns the loads and doubts of the other nodes.
	Others func(now time.Time) *gossip.Totals
	// Retiring returns the replica groups that the leader is about to end.
	Retiring func(now time.Time) map[string]bool
	// Doubted is called when a replica group has begun to stand still at this node; it must not block. Nil if nobody needs
	// to be told.
	Doubted func()
	// Limits are the rate limits that endpoints name; nil for a table of the Picker's own.
	Limits *ratelimit.Table
	// Lost reports whether the leader has found a replica group to have lost a member; nil if nobody tells.
	Lost func(group string, now time.Time) bool
}

// Picker chooses endpoints.
type Picker struct {
	options Options

	mu       sync.Mutex
	health   map[string]*health
	running  map[string]int  // by workspace
	complete map[string]bool // groups that had all their members ready
	waiting  []*waiter
	demand   map[string]int       // waiting by model
	busy     map[string]int       // running by model
	arrivals map[string]*arrivals // by model
	pauses   pauses
	cold     *ratelimit.Cold
	random   uint64
}

// New returns a Picker.
func New(o Options) *Picker {
	if o.Limits == nil {
		o.Limits = ratelimit.NewTable(clock.Now())
	}
	return &Picker{
		options: o, health: make(map[string]*health), running: make(map[string]int), complete: make(map[string]bool),
		demand: make(map[string]int), busy: make(map[string]int), arrivals: make(map[string]*arrivals), pauses: make(pauses),
		cold: ratelimit.NewCold(clock.Now()),
	}
}

// Acquire returns a place, waiting for one up to the want's patience.
func (p *Picker) Acquire(ctx context.Context, w *Want) (*Place, error) {
	p.mu.Lock()
	p.arrive(w, clock.Now())
	if !p.someoneWaitsFor(w) {
		place, err := p.try(w, clock.Now(), false)
		if place != nil || err != nil && (w.Patience <= 0 || isPaused(err)) {
			p.mu.Unlock()
			return place, err
		}
	}
	q := p.enqueue(w)
	p.mu.Unlock()
	timer := time.NewTimer(w.Patience)
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
	place, err := p.try(w, clock.Now(), true)
	if place == nil && err == nil {
		err = ErrNoPlace
	}
	return place, err
}

// arrive counts in a request for a model.
func (p *Picker) arrive(w *Want, now time.Time) {
	if w.Model == "" {
		return
	}
	if p.arrivals[w.Model] == nil {
		p.arrivals[w.Model] = &arrivals{at: now}
	}
	p.arrivals[w.Model].add(w, now)
}

// try returns a place if there is one; with full set, also one in the queue of a full replica group.
func (p *Picker) try(w *Want, now time.Time, full bool) (*Place, error) {
	others := p.options.Others(now)
	p.options.Limits.Learn(others.Limits, now)
	candidates := p.candidates(w, others, now)
	if len(candidates) == 0 {
		return nil, ErrNoEndpoint
	}
	if left := leastPause(candidates); left > w.Patience {
		return nil, &PausedError{left}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.full(w, full) })
	for len(candidates) > 0 {
		best := p.best(w, candidates)
		if p.admit(&best, others, now) {
			return p.take(w, &best, now), nil
		}
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.endpoint == best.endpoint })
	}
	return nil, nil //nolint:nilnil // neither a place nor a failure: wait
}

// admit reports whether the chosen candidate may be sent one more request within its rate limits, and counts it.
func (p *Picker) admit(c *candidate, others *gossip.Totals, now time.Time) bool {
	if c.coldPerSecond > 0 && !p.cold.Admit(c.endpoint.ID, c.coldPerSecond, others, now) {
		return false
	}
	return p.options.Limits.Admit(c.endpoint.ID, others.Limits, now)
}

// best returns the candidate of the least cost among those that the choice is made among.
func (p *Picker) best(w *Want, candidates []candidate) candidate {
	if w.Model != "" {
		candidates = p.sample(candidates)
	}
	return slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
}

func (p *Picker) take(w *Want, c *candidate, now time.Time) *Place {
	place := &Place{Endpoint: c.endpoint, Group: c.group, Requests: c.load, picker: p, workspace: w.Workspace, model: w.Model}
	h := p.healthOf(place.key(), now)
	h.running++
	p.running[w.Workspace]++
	p.busy[w.Model]++
	return place
}

func (p *Picker) release(place *Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.healthOf(place.key(), now).running--
	p.busy[place.model]--
	if p.running[place.workspace]--; p.running[place.workspace] <= 0 {
		delete(p.running, place.workspace)
	}
	p.grant(now)
}

func (p *Picker) healthOf(key string, now time.Time) *health {
	h, ok := p.health[key]
	if !ok {
		h = &health{}
		p.health[key] = h
	}
	h.touched = now
	return h
}

// Review grants places after a change of the directory or of the other nodes' loads.
func (p *Picker) Review() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant(clock.Now())
}

// Sweep forgets the health of what is not used.
func (p *Picker) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.sweep(now)
	p.cold.Sweep(now)
	for key, h := range p.health {
		if h.running == 0 && now.Sub(h.touched) > forgetAfter {
			delete(p.health, key)
			delete(p.complete, key)
		}
	}
}
