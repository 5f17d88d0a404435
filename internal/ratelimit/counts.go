package ratelimit

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/window"
)

// counts are the requests for one endpoint at this node.
type counts struct {
	sent   *window.Counter
	passed *window.Counter // that its limit kept from it
}

func newCounts(span time.Duration, start time.Time) counts {
	return counts{window.NewCounter(span, start), window.NewCounter(span, start)}
}

// fit reports whether one more request keeps all nodes together to what is allowed in the window. What the others send is known
// a moment later only; so that nodes do not all take what is left at once, each takes by chance the part of its requests that
// is allowed of those of all nodes. draw is from 0 to 1.
func (c counts) fit(allowed float64, others gossip.RateLimit, draw float64, now time.Time) bool {
	sent := c.sent.Sum(now)
	wanted := 1 + sent + c.passed.Sum(now) + others.Recent + others.Passed
	return float64(1+sent+others.Recent) <= allowed && draw*float64(wanted) < allowed
}

// add counts a request that was sent, or was not.
func (c counts) add(sent bool, now time.Time) {
	if sent {
		c.sent.Add(now)
		return
	}
	c.passed.Add(now)
}
