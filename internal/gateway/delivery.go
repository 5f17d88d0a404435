package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/route"
)

// delivery is what the caller has got of an answer, over all sendings.
type delivery struct {
	first, last time.Time     // first and last event, or the whole answer; zero if none
	pause       time.Duration // longest between two events
}

// event notes an event that is passed on.
func (d *delivery) event(now time.Time) {
	if d.first.IsZero() {
		d.first = now
	} else {
		d.pause = max(d.pause, now.Sub(d.last))
	}
	d.last = now
}

// late reports whether the answer has begun, but not within the route's objectives.
func (d *delivery) late(received time.Time, r *route.Route) bool {
	if d.first.IsZero() {
		return false
	}
	return r.Objective > 0 && d.first.Sub(received) > r.Objective || r.GapObjective > 0 && d.pause > r.GapObjective
}
