// Package ratelimit keeps nodes together within the rates of requests that endpoints name in their answers.
//
// Each node counts what it has lately sent to an endpoint and tells the others in its beats. A node sends to a limited endpoint
// only as long as its own count and those of the others leave room, so that the limit is used wherever requests come in.
// What was sent before the limit was named counts as well.
package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/window"
)

const (
	// span is the time in which sendings are counted. It holds several requests of a limit as low as one a second.
	span = 5 * time.Second
	// settleFor is how long nothing is sent to an endpoint that has just named a limit: the other nodes' counts arrive
	// meanwhile.
	settleFor = time.Second
	// toldFor is how long others are told what an endpoint's answer said. Each beat repeats it, as beats may be lost.
	toldFor = 3 * time.Second
	// keptFor is how long the limit of an endpoint is kept that says nothing more.
	keptFor = time.Minute
)

// Table is what one node knows of the limits of endpoints, and what it has sent to endpoints.
type Table struct {
	// Changed is called when an endpoint's answer names another limit than before, or none any more; it must not block. Nil
	// if nobody needs to be told.
	Changed func(endpoint string, l Limit)

	// Draw returns a number from 0 to 1 by chance.
	Draw func() float64

	start time.Time

	mu     sync.Mutex
	limits map[gossip.EndpointKey]*entry
	sent   map[gossip.EndpointKey]*window.Counter
}

// entry is what is known of one endpoint's limit.
type entry struct {
	limit Limit
	asOf  time.Time // the endpoint said so then
	since time.Time // it has named a limit since then
	heard time.Time // this node has last had an answer of the endpoint; zero if it knows from others

	passed *window.Counter // requests that the limit kept from it
}

// NewTable returns an empty Table; no time before start will be asked for.
func NewTable(start time.Time) *Table {
	return &Table{Draw: rand.Float64, start: start, limits: make(map[gossip.EndpointKey]*entry), sent: make(map[gossip.EndpointKey]*window.Counter)}
}

// Said takes in what an endpoint's answer says of its limit, for a request that was sent at sent. An answer to a request that
// was sent before the limit was named does not lift it.
func (t *Table) Said(endpoint string, l Limit, sent, now time.Time) {
	if t.hear(gossip.KeyOf(endpoint), l, sent, now) && t.Changed != nil {
		t.Changed(endpoint, l)
	}
}

// hear is Said without the call of Changed; it reports whether the limit is another one now.
func (t *Table) hear(key gossip.EndpointKey, l Limit, sent, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[key]
	if !l.Named && (e == nil || !e.limit.Named || sent.Before(e.asOf)) {
		return false
	}
	changed := e == nil || e.limit != l
	t.learn(key, l, now, now).heard = now
	return changed
}

// learn notes a limit with the lock held.
func (t *Table) learn(key gossip.EndpointKey, l Limit, asOf, now time.Time) *entry {
	e := t.limits[key]
	if e == nil {
		e = &entry{passed: window.NewCounter(span, t.start)}
		t.limits[key] = e
	}
	if l.Named && !e.limit.Named {
		e.since = now
	}
	e.limit, e.asOf = l, asOf
	return e
}

// sending returns the counter of what this node sends to an endpoint.
func (t *Table) sending(key gossip.EndpointKey) *window.Counter {
	c := t.sent[key]
	if c == nil {
		c = window.NewCounter(span, t.start)
		t.sent[key] = c
	}
	return c
}

// Learn takes in what the other nodes tell.
func (t *Table) Learn(others gossip.RateLimits, now time.Time) {
	if len(others) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, other := range others {
		if e := t.limits[key]; e == nil || other.AsOf.After(e.asOf) {
			t.learn(key, Limit{PerSecond: other.PerSecond, Named: other.Named}, other.AsOf, now)
		}
	}
}

// Admit reports whether a request may be sent to an endpoint that was chosen for it, and counts it. It may not if the endpoint's
// limit is used up by what all nodes have sent.
func (t *Table) Admit(endpoint string, others gossip.RateLimits, now time.Time) bool {
	key := gossip.KeyOf(endpoint)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[key]
	if e != nil && e.limit.Named && !t.admits(e, key, others[key], now) {
		e.passed.Add(now)
		return false
	}
	t.sending(key).Add(now)
	return true
}

func (t *Table) admits(e *entry, key gossip.EndpointKey, others gossip.RateLimit, now time.Time) bool {
	if now.Sub(e.since) < settleFor {
		return false
	}
	return counts{t.sending(key), e.passed}.fit(e.allowed(), others, t.Draw(), now)
}

// allowed returns how many requests the limit allows in the window that is counted. One always is: only an answer tells that the
// limit has ended.
func (e *entry) allowed() float64 {
	return max(1, e.limit.PerSecond*window.Covered(span).Seconds())
}

// Report returns what the other nodes are told: limits that this node has lately heard of from the endpoints themselves, and
// what it has sent to limited endpoints.
func (t *Table) Report(now time.Time) gossip.RateLimits {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out gossip.RateLimits
	for key, e := range t.limits {
		told := gossip.RateLimit{Named: e.limit.Named, PerSecond: e.limit.PerSecond, AsOf: e.asOf}
		if e.limit.Named {
			told.Recent, told.Passed = t.sending(key).Sum(now), e.passed.Sum(now)
		}
		if told.Recent+told.Passed == 0 && now.Sub(e.heard) > toldFor {
			continue
		}
		if out == nil {
			out = make(gossip.RateLimits)
		}
		out[key] = told
	}
	return out
}

// Limit returns the limit that an endpoint has named last.
func (t *Table) Limit(endpoint string) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.limits[gossip.KeyOf(endpoint)]; e != nil {
		return e.limit
	}
	return Limit{}
}

// Named returns how many endpoints name a limit.
func (t *Table) Named() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.limits {
		if e.limit.Named {
			n++
		}
	}
	return n
}

// Sweep forgets what has grown old.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.limits {
		if now.Sub(e.asOf) > keptFor {
			delete(t.limits, key)
		}
	}
	for key, c := range t.sent {
		if c.Sum(now) == 0 {
			delete(t.sent, key)
		}
	}
}
