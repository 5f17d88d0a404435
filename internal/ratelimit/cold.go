package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// coldPeriod is the period in which a cold endpoint receives at most the number of requests that its rate allows.
	// coldWindow is the window in which requests are counted; it is longer, so that it always covers coldPeriod.
	coldPeriod = time.Second
	coldWindow = 1100 * time.Millisecond
	// peerCountsDelay is the maximum time until the other nodes' counts for an endpoint have arrived.
	peerCountsDelay = time.Second
)

// ColdLimiter keeps all nodes together within the request rate that endpoints can take shortly after their start. It works like
// Table, but the rate comes from the configuration.
type ColdLimiter struct {
	start time.Time

	mu        sync.Mutex
	endpoints map[gossip.EndpointKey]*coldEndpoint
}

// coldEndpoint is what this node has sent to one cold endpoint.
type coldEndpoint struct {
	counts         counts
	firstRequestAt time.Time // when this node first had a request for the endpoint
	roundingDraw   float64   // random number in [0, 1) that decides how a fractional share is rounded
}

// NewColdLimiter returns a ColdLimiter without endpoints. Times passed to its methods must not be before start.
func NewColdLimiter(start time.Time) *ColdLimiter {
	return &ColdLimiter{start: start, endpoints: make(map[gossip.EndpointKey]*coldEndpoint)}
}

// Admit reports whether a request may be sent to a cold endpoint that takes perSecond requests per second, and counts it.
func (c *ColdLimiter) Admit(endpoint string, perSecond float64, others *gossip.Totals, now time.Time) bool {
	key := gossip.KeyOf(endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[key]
	if e == nil {
		e = &coldEndpoint{counts: newCounts(coldWindow, c.start), firstRequestAt: now, roundingDraw: rand.Float64()} //nolint:gosec // not security-relevant
		c.endpoints[key] = e
	}
	allowed := perSecond * coldPeriod.Seconds()
	var ok bool
	if now.Sub(e.firstRequestAt) < peerCountsDelay {
		ok = e.fitsEvenShare(allowed/float64(others.Busy+1), now)
	} else {
		ok = e.counts.fits(allowed, others.Cold[key], rand.Float64(), now) //nolint:gosec // not security-relevant
	}
	e.counts.add(ok, now)
	return ok
}

// fitsEvenShare reports whether a request fits this node's equal share of the allowed requests. A fractional share is rounded
// up or down at random, with a probability that keeps its mean.
func (e *coldEndpoint) fitsEvenShare(share float64, now time.Time) bool {
	return float64(e.counts.sent.Sum(now))+e.roundingDraw < share
}

// Report returns this node's counts for the other nodes.
func (c *ColdLimiter) Report(now time.Time) gossip.RateLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out gossip.RateLimits
	for key, e := range c.endpoints {
		report := gossip.RateLimit{AsOf: now, Recent: e.counts.sent.Sum(now), Withheld: e.counts.withheld.Sum(now)}
		if report.Recent+report.Withheld == 0 {
			continue
		}
		if out == nil {
			out = make(gossip.RateLimits)
		}
		out[key] = report
	}
	return out
}

// Sweep removes endpoints for which no request was counted within coldWindow.
func (c *ColdLimiter) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, e := range c.endpoints {
		if e.counts.sent.Sum(now)+e.counts.withheld.Sum(now) == 0 {
			delete(c.endpoints, key)
		}
	}
}
