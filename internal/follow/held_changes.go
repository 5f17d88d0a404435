package follow

import (
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

const (
	// outageAge is the age of the copy above which the store counts as having been unavailable.
	outageAge = 2500 * time.Millisecond
	// lapseGrace is the minimum time after the store's recovery for which the entry of a live endpoint may be missing: the
	// platform guarantees that the entry reappears within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// beatDelayMargin is the time that a heartbeat of an endpoint takes to reach this node. An endpoint with a long heartbeat
	// interval reappears only with its next heartbeat.
	beatDelayMargin = 300 * time.Millisecond
)

// heldChanges holds back the removals that are seen just after an outage of the store: entries that have expired during it
// reappear soon if their endpoints are alive. Likewise it holds back what a store that came back from a copy has from before its
// last writes, which are written again. What is still so after that time counts.
type heldChanges struct {
	beat    time.Duration // interval at which endpoints write their entries
	until   time.Time
	changes map[string]infra.Object // by key
}

// start begins to hold changes back.
func (a *heldChanges) start(now time.Time) {
	a.until = now.Add(max(lapseGrace, a.beat+beatDelayMargin))
	if a.changes == nil {
		a.changes = make(map[string]infra.Object)
	}
}

// add holds a change back.
func (a *heldChanges) add(o infra.Object) { a.changes[o.Key] = o }

// hold processes a change and reports whether it is held back, as removals are.
func (a *heldChanges) hold(o infra.Object, now time.Time) bool {
	if !o.Deleted {
		delete(a.changes, o.Key)
		return false
	}
	if now.After(a.until) {
		return false
	}
	a.add(o)
	return true
}

// due returns the held changes once the time for holding them back is over.
func (a *heldChanges) due(now time.Time) []infra.Object {
	if len(a.changes) == 0 || !now.After(a.until) {
		return nil
	}
	var out []infra.Object
	for _, o := range a.changes {
		out = append(out, o)
	}
	clear(a.changes)
	return out
}
