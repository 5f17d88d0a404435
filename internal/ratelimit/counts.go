package ratelimit

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/window"
)

// counts holds this node's sliding-window counts of requests for one endpoint.
type counts struct {
	sent     *window.Counter
	withheld *window.Counter // requests not sent because of the limit
}

func newCounts(span time.Duration, start time.Time) counts {
	return counts{window.NewCounter(span, start), window.NewCounter(span, start)}
}

// fits reports whether one more request keeps all nodes together within the number allowed per window. Counts of the other
// nodes arrive with a delay. So that nodes do not all use the remaining capacity at once, a node sends a request only with
// the probability allowed/attempted, where attempted is the number of requests that all nodes have sent or withheld, plus
// this one. draw is a random number in [0, 1).
func (c counts) fits(allowed float64, others gossip.RateLimit, draw float64, now time.Time) bool {
	sent := c.sent.Sum(now)
	attempted := 1 + sent + c.withheld.Sum(now) + others.Recent + others.Withheld
	return float64(1+sent+others.Recent) <= allowed && draw*float64(attempted) < allowed
}

// add counts a request as sent or as withheld.
func (c counts) add(sent bool, now time.Time) {
	if sent {
		c.sent.Add(now)
		return
	}
	c.withheld.Add(now)
}
