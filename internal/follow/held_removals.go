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

// heldRemovals holds back the removals that are seen just after an outage of the store: entries that have expired during it
// reappear soon if their endpoints are alive. Entries that are still missing after that are removed.
type heldRemovals struct {
	beat     time.Duration // interval at which endpoints write their entries
	until    time.Time
	removals map[string]infra.Object // by key
}

// start begins to hold removals back.
func (a *heldRemovals) start(now time.Time) {
	a.until = now.Add(max(lapseGrace, a.beat+beatDelayMargin))
	if a.removals == nil {
		a.removals = make(map[string]infra.Object)
	}
}

// hold processes a change and reports whether it is held back.
func (a *heldRemovals) hold(o infra.Object, now time.Time) bool {
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

// due returns the held removals once the time for holding them back is over.
func (a *heldRemovals) due(now time.Time) []infra.Object {
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
