package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// coldPeriod is the time within which a cold endpoint gets at most the requests that it bears in it, and coldSpan the
	// window in which sendings are counted, which covers it.
	coldPeriod = time.Second
	coldSpan   = 1100 * time.Millisecond
	// heardWithin is how long it may take until the other nodes' counts of an endpoint have arrived.
	heardWithin = time.Second
)

// Cold keeps nodes together within the rate of requests that endpoints bear in the first time after their start. It works as
// Table does; the rate is known from the configuration.
type Cold struct {
	start time.Time

	mu        sync.Mutex
	endpoints map[gossip.EndpointKey]*coldEndpoint
}

// coldEndpoint is what this node has sent to one cold endpoint.
type coldEndpoint struct {
	counts counts
	since  time.Time // this node sends to it
	draw   float64   // from 0 to 1 by chance
}

// NewCold returns a Cold that knows of no endpoint; no time before start will be asked for.
func NewCold(start time.Time) *Cold {
	return &Cold{start: start, endpoints: make(map[gossip.EndpointKey]*coldEndpoint)}
}

// Admit reports whether a request may be sent to a cold endpoint that bears perSecond requests a second, and counts it.
func (c *Cold) Admit(endpoint string, perSecond float64, others *gossip.Totals, now time.Time) bool {
	key := gossip.KeyOf(endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[key]
	if e == nil {
		e = &coldEndpoint{counts: newCounts(coldSpan, c.start), since: now, draw: rand.Float64()} //nolint:gosec // a spread
		c.endpoints[key] = e
	}
	allowed := perSecond * coldPeriod.Seconds()
	var ok bool
	if now.Sub(e.since) < heardWithin {
		ok = e.inEvenPart(allowed/float64(others.Busy+1), now)
	} else {
		ok = e.counts.fit(allowed, others.Cold[key], rand.Float64(), now) //nolint:gosec // a spread
	}
	e.counts.add(ok, now)
	return ok
}

// inEvenPart reports whether a request keeps to this node's part of what all may send. Of a part that is no whole number the
// rest is a chance.
func (e *coldEndpoint) inEvenPart(part float64, now time.Time) bool {
	return float64(e.counts.sent.Sum(now))+e.draw < part
}

// Report returns what the other nodes are told.
func (c *Cold) Report(now time.Time) gossip.RateLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out gossip.RateLimits
	for key, e := range c.endpoints {
		told := gossip.RateLimit{AsOf: now, Recent: e.counts.sent.Sum(now), Passed: e.counts.passed.Sum(now)}
		if told.Recent+told.Passed == 0 {
			continue
		}
		if out == nil {
			out = make(gossip.RateLimits)
		}
		out[key] = told
	}
	return out
}

// Sweep forgets endpoints that nothing was sent to lately.
func (c *Cold) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, e := range c.endpoints {
		if e.counts.sent.Sum(now)+e.counts.passed.Sum(now) == 0 {
			delete(c.endpoints, key)
		}
	}
}
