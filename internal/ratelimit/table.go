// Package ratelimit keeps all nodes together within the rate limits that endpoints name in their answers.
//
// Each node counts the requests that it recently sent to an endpoint and reports the count to the others in its heartbeats. A
// node sends to a limited endpoint only while its own count and those of the others are below the limit, so that any node can
// use the whole limit. Requests sent before the limit was named are counted as well.
package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/window"
)

const (
	// countingWindow is the window in which sent requests are counted. It spans several requests even at a limit of one per
	// second.
	countingWindow = 5 * time.Second
	// settleDelay is how long no request is sent to an endpoint after it first names a limit, so that the counts of the other
	// nodes can arrive.
	settleDelay = time.Second
	// reportPeriod is how long the limit in an endpoint's answer is reported to other nodes. Each heartbeat repeats it,
	// because heartbeats may be lost.
	reportPeriod = 3 * time.Second
	// limitTTL is how long the limit of an endpoint is kept after the last answer that confirmed it.
	limitTTL = time.Minute
)

// Table holds the limits of endpoints received by one node, and the counts of requests that it has sent to them.
type Table struct {
	// OnChange is called when an endpoint's answer changes or removes its limit; it must not block. It may be nil.
	OnChange func(endpoint string, l Limit)

	// Draw returns a random number in [0, 1).
	Draw func() float64

	start time.Time

	mu     sync.Mutex
	limits map[gossip.EndpointKey]*entry
	sent   map[gossip.EndpointKey]*window.Counter
}

// entry is the state of one endpoint's limit.
type entry struct {
	limit        Limit
	asOf         time.Time // when the endpoint last named or removed the limit
	limitedSince time.Time // when this node first received a limit of the endpoint
	lastAnswer   time.Time // last answer to this node that set the limit; zero if only other nodes have reported it

	withheld *window.Counter // requests not sent because of the limit
}

// NewTable returns an empty Table. Times passed to its methods must not be before start.
func NewTable(start time.Time) *Table {
	return &Table{Draw: rand.Float64, start: start, limits: make(map[gossip.EndpointKey]*entry), sent: make(map[gossip.EndpointKey]*window.Counter)}
}

// RecordAnswer records the limit in an endpoint's answer to a request that was sent at time sent. An answer without a limit is ignored
// if its request was sent before the limit was last named.
func (t *Table) RecordAnswer(endpoint string, l Limit, sent, now time.Time) {
	if t.observe(gossip.KeyOf(endpoint), l, sent, now) && t.OnChange != nil {
		t.OnChange(endpoint, l)
	}
}

// observe does the work of RecordAnswer except calling OnChange, and reports whether the limit has changed.
func (t *Table) observe(key gossip.EndpointKey, l Limit, sent, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[key]
	if !l.Named && (e == nil || !e.limit.Named || sent.Before(e.asOf)) {
		return false
	}
	changed := e == nil || e.limit != l
	t.setLimit(key, l, now, now).lastAnswer = now
	return changed
}

// setLimit stores a limit. The caller holds t.mu.
func (t *Table) setLimit(key gossip.EndpointKey, l Limit, asOf, now time.Time) *entry {
	e := t.limits[key]
	if e == nil {
		e = &entry{withheld: window.NewCounter(countingWindow, t.start)}
		t.limits[key] = e
	}
	if l.Named && !e.limit.Named {
		e.limitedSince = now
	}
	e.limit, e.asOf = l, asOf
	return e
}

// sentCounter returns the counter of requests that this node has sent to an endpoint. The caller holds t.mu.
func (t *Table) sentCounter(key gossip.EndpointKey) *window.Counter {
	c := t.sent[key]
	if c == nil {
		c = window.NewCounter(countingWindow, t.start)
		t.sent[key] = c
	}
	return c
}

// MergeReports merges limits reported by other nodes.
func (t *Table) MergeReports(others gossip.RateLimits, now time.Time) {
	if len(others) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, other := range others {
		if e := t.limits[key]; e == nil || other.AsOf.After(e.asOf) {
			t.setLimit(key, Limit{PerSecond: other.PerSecond, Named: other.Named}, other.AsOf, now)
		}
	}
}

// Admit reports whether a request may be sent to the endpoint chosen for it, and counts it. It may not be sent if the requests
// of all nodes have used up the endpoint's limit.
func (t *Table) Admit(endpoint string, others gossip.RateLimits, now time.Time) bool {
	key := gossip.KeyOf(endpoint)
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limits[key]
	if e != nil && e.limit.Named && !t.admits(e, key, others[key], now) {
		e.withheld.Add(now)
		return false
	}
	t.sentCounter(key).Add(now)
	return true
}

func (t *Table) admits(e *entry, key gossip.EndpointKey, others gossip.RateLimit, now time.Time) bool {
	if now.Sub(e.limitedSince) < settleDelay {
		return false
	}
	return counts{t.sentCounter(key), e.withheld}.fits(e.allowed(), others, t.Draw(), now)
}

// allowed returns the number of requests that the limit allows per window. It is at least one, because only an answer can show
// that the endpoint no longer names a limit.
func (e *entry) allowed() float64 {
	return max(1, e.limit.PerSecond*window.Covered(countingWindow).Seconds())
}

// Report returns what other nodes need: limits that endpoints recently named or removed in answers to this node, and the
// counts of requests for limited endpoints.
func (t *Table) Report(now time.Time) gossip.RateLimits {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out gossip.RateLimits
	for key, e := range t.limits {
		report := gossip.RateLimit{Named: e.limit.Named, PerSecond: e.limit.PerSecond, AsOf: e.asOf}
		if e.limit.Named {
			report.Recent, report.Withheld = t.sentCounter(key).Sum(now), e.withheld.Sum(now)
		}
		if report.Recent+report.Withheld == 0 && now.Sub(e.lastAnswer) > reportPeriod {
			continue
		}
		if out == nil {
			out = make(gossip.RateLimits)
		}
		out[key] = report
	}
	return out
}

// Limit returns the last limit named by an endpoint, or the zero Limit if there is none.
func (t *Table) Limit(endpoint string) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.limits[gossip.KeyOf(endpoint)]; e != nil {
		return e.limit
	}
	return Limit{}
}

// CountNamed returns the number of endpoints that name a limit.
func (t *Table) CountNamed() int {
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

// Sweep removes expired limits and empty counters.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.limits {
		if now.Sub(e.asOf) > limitTTL {
			delete(t.limits, key)
		}
	}
	for key, c := range t.sent {
		if c.Sum(now) == 0 {
			delete(t.sent, key)
		}
	}
}
