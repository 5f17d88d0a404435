package follow

import (
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

const (
	// awayFor is how old the copy must be for the store to count as having been away.
	awayFor = 2500 * time.Millisecond
	// lapseGrace is how long after the store's return an entry may be missing whose endpoint lives, at the least: the platform
	// promises that it is back within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// beatSlack is what a beat takes to be known here: an endpoint that writes seldom is not back before its next one.
	beatSlack = 300 * time.Millisecond
)

// absentees holds the removals back that are seen just after the store was away: entries that have run out meanwhile
// come back soon if their endpoints live. What is missing after that is gone.
type absentees struct {
	beat     time.Duration // of the endpoints' entries
	until    time.Time
	removals map[string]infra.Object // by key
}

// wait begins to hold removals back.
func (a *absentees) wait(now time.Time) {
	a.until = now.Add(max(lapseGrace, a.beat+beatSlack))
	if a.removals == nil {
		a.removals = make(map[string]infra.Object)
	}
}

// holds takes in a change and reports whether it is held back.
func (a *absentees) holds(o infra.Object, now time.Time) bool {
	if !o.Deleted {
		delete(a.removals, o.Key)
		return false
	}
	if now.After(a.until) {
		return false
	}
	a.removals[o.Key] = o
	return true
}

// due returns the removals that have been held back for long enough.
func (a *absentees) due(now time.Time) []infra.Object {
	if len(a.removals) == 0 || !now.After(a.until) {
		return nil
	}
	var out []infra.Object
	for _, o := range a.removals {
		out = append(out, o)
	}
	clear(a.removals)
	return out
}
