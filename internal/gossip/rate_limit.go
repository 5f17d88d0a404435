package gossip

import (
	"maps"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// RateLimit is what nodes tell each other of one endpoint's rate limit.
type RateLimit struct {
	Named     bool      // false: the endpoint names none any more
	PerSecond float64   // requests from all nodes together
	AsOf      time.Time // the endpoint said so then
	Recent    int       // requests sent to it lately by the nodes that this covers
	Passed    int       // requests that the limit kept from it
}

// RateLimits are the rate limits of endpoints.
type RateLimits map[EndpointKey]RateLimit

// add counts in what others tell; the newest word of an endpoint holds.
func (r RateLimits) add(others RateLimits) {
	for key, other := range others {
		known := r[key]
		newest := known
		if other.AsOf.After(known.AsOf) {
			newest = other
		}
		newest.Recent = known.Recent + other.Recent
		newest.Passed = known.Passed + other.Passed
		r[key] = newest
	}
}

// less returns the limits without the requests of a node that was counted in.
func (r RateLimits) less(other RateLimits) RateLimits {
	out := maps.Clone(r)
	for key, o := range other {
		if l, ok := out[key]; ok {
			l.Recent = max(0, l.Recent-o.Recent)
			l.Passed = max(0, l.Passed-o.Passed)
			out[key] = l
		}
	}
	return out
}

func (r RateLimits) toWire(now time.Time) []*gossippb.RateLimit {
	var out []*gossippb.RateLimit
	for key, l := range r {
		out = append(out, &gossippb.RateLimit{
			Endpoint: uint32(key), Named: l.Named, PerSecond: l.PerSecond, AgeMs: roundUp(now.Sub(l.AsOf)),
			Recent: uint32(l.Recent), Passed: uint32(l.Passed), //nolint:gosec // never negative
		})
	}
	return out
}

func rateLimitsFromWire(list []*gossippb.RateLimit, asOf time.Time) RateLimits {
	out := make(RateLimits, len(list))
	for _, l := range list {
		out[EndpointKey(l.Endpoint)] = RateLimit{
			Named: l.Named, PerSecond: l.PerSecond, AsOf: asOf.Add(-millis(l.AgeMs)), Recent: int(l.Recent), Passed: int(l.Passed),
		}
	}
	return out
}
