package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/route"
)

// delivery records when events were passed on to the caller, over all attempts.
type delivery struct {
	first, last time.Time     // times of the first and the last event, or of the whole answer; zero if none
	longestGap  time.Duration // longest gap between two events
	events      int           // number of events, 1 for a whole answer
}

// record records an event, or a whole answer, passed on at now.
func (d *delivery) record(now time.Time) {
	if d.first.IsZero() {
		d.first = now
	} else {
		d.longestGap = max(d.longestGap, now.Sub(d.last))
	}
	d.last = now
	d.events++
}

// late reports whether the answer has begun but missed one of the route's objectives.
func (d *delivery) late(received time.Time, r *route.Route) bool {
	if d.first.IsZero() {
		return false
	}
	return r.Objective > 0 && d.first.Sub(received) > r.Objective || r.GapObjective > 0 && d.longestGap > r.GapObjective
}
