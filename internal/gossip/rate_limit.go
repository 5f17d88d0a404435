package gossip

import (
	"maps"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// RateLimit is the state of one endpoint's rate limit that nodes exchange.
type RateLimit struct {
	Named     bool      // the endpoint announces a limit; false once it no longer does
	PerSecond float64   // requests per second from all nodes together
	AsOf      time.Time // when the endpoint announced it
	Recent    int       // requests recently sent to the endpoint by the nodes that this covers
	Withheld  int       // requests that the limit kept from being sent to it
}

// RateLimits maps endpoints to their rate limits.
type RateLimits map[EndpointKey]RateLimit

// add merges the limits that other nodes report: request counts are added up, and the most recently announced limit wins.
func (r RateLimits) add(others RateLimits) {
	for key, other := range others {
		known := r[key]
		merged := known
		if other.AsOf.After(known.AsOf) {
			merged = other
		}
		merged.Recent = known.Recent + other.Recent
		merged.Withheld = known.Withheld + other.Withheld
		r[key] = merged
	}
}

// minus returns the limits with the request counts of a node that is included in r subtracted.
func (r RateLimits) minus(other RateLimits) RateLimits {
	out := maps.Clone(r)
	for key, o := range other {
		if l, ok := out[key]; ok {
			l.Recent = max(0, l.Recent-o.Recent)
			l.Withheld = max(0, l.Withheld-o.Withheld)
			out[key] = l
		}
	}
	return out
}

func (r RateLimits) toWire(now time.Time) []*gossippb.RateLimit {
	var out []*gossippb.RateLimit
	for key, l := range r {
		out = append(out, &gossippb.RateLimit{
			Endpoint: uint32(key), Named: l.Named, PerSecond: l.PerSecond, AgeMs: ceilMillis(now.Sub(l.AsOf)),
			Recent: uint32(l.Recent), Passed: uint32(l.Withheld), //nolint:gosec // never negative
		})
	}
	return out
}

func rateLimitsFromWire(list []*gossippb.RateLimit, asOf time.Time) RateLimits {
	out := make(RateLimits, len(list))
	for _, l := range list {
		out[EndpointKey(l.Endpoint)] = RateLimit{
			Named: l.Named, PerSecond: l.PerSecond, AsOf: asOf.Add(-fromMillis(l.AgeMs)), Recent: int(l.Recent), Withheld: int(l.Passed),
		}
	}
	return out
}
