package follow

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
)

const (
	// outageAge is the time without answers above which the store counts as having been unavailable.
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
	beat time.Duration // interval at which endpoints write their entries
	// onHold and onEnd, if not nil, are called when the first change is held back, and when no change is held back any longer. They must
	// not call methods of heldChanges.
	onHold func(holdStart)
	onEnd  func(holdEnd)

	mu      sync.Mutex
	reason  holdReason
	until   time.Time
	since   time.Time               // when the first change of those held was held back
	changes map[string]infra.Object // by key
	added   int                     // changes held back since then
	timer   *time.Timer             // calls the function of releaseWhenDue; nil if none is waiting
}

// holdReason tells why changes are held back.
type holdReason string

const (
	storeOutage   holdReason = "the store was unavailable"
	storeFromCopy holdReason = "the store came back from a copy"
)

// holdStart describes changes that begin to be held back.
type holdStart struct {
	reason   holdReason
	firstKey string
	limit    time.Duration // the longest time for which they are held back, unless the store becomes unavailable again
}

// holdEnd describes changes that are no longer held back.
type holdEnd struct {
	held    time.Duration // since the first was held back
	applied int           // changes that count now
	dropped int           // changes that later ones replaced, such as an entry that has reappeared
}

// start begins to hold changes back.
func (a *heldChanges) start(now time.Time, reason holdReason) {
	a.startUntil(now.Add(a.grace()), reason)
}

// grace returns how long the entry of a live endpoint may be missing after the store's recovery.
func (a *heldChanges) grace() time.Duration { return max(lapseGrace, a.beat+beatDelayMargin) }

// startUntil begins to hold changes back until the given time, unless they are held back for longer.
func (a *heldChanges) startUntil(until time.Time, reason holdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until.After(a.until) {
		a.until, a.reason = until, reason
	}
}

// add holds a change back.
func (a *heldChanges) add(o infra.Object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(o, clock.Now())
}

func (a *heldChanges) addLocked(o infra.Object, now time.Time) {
	if a.changes == nil {
		a.changes = make(map[string]infra.Object)
	}
	if len(a.changes) == 0 {
		a.since, a.added = now, 0
		if a.onHold != nil {
			a.onHold(holdStart{a.reason, o.Key, a.until.Sub(now)})
		}
	}
	if _, known := a.changes[o.Key]; !known {
		a.added++
	}
	a.changes[o.Key] = o
}

// hold processes a change and reports whether it is held back, as removals are.
func (a *heldChanges) hold(o infra.Object, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !o.Deleted {
		a.forgetLocked(o.Key, now)
		return false
	}
	if now.After(a.until) {
		return false
	}
	a.addLocked(o, now)
	return true
}

// forget drops the held change of a key, because a later one has been received.
func (a *heldChanges) forget(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetLocked(key, clock.Now())
}

func (a *heldChanges) forgetLocked(key string, now time.Time) {
	if _, held := a.changes[key]; !held {
		return
	}
	delete(a.changes, key)
	if len(a.changes) == 0 {
		a.end(0, now)
	}
}

// end reports that no change is held back any longer.
func (a *heldChanges) end(applied int, now time.Time) {
	if a.onEnd != nil {
		a.onEnd(holdEnd{held: now.Sub(a.since), applied: applied, dropped: a.added - applied})
	}
}

// isEmpty reports whether no change is held back.
func (a *heldChanges) isEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.changes) == 0
}

// releaseWhenDue arranges that release is called, in a goroutine of its own, when the time for holding the changes back is over.
func (a *heldChanges) releaseWhenDue(release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.changes) == 0 || a.timer != nil {
		return
	}
	a.timer = time.AfterFunc(max(clock.Until(a.until), 0)+time.Millisecond, func() {
		a.mu.Lock()
		a.timer = nil
		a.mu.Unlock()
		release()
	})
}

// due returns the held changes once the time for holding them back is over.
func (a *heldChanges) due(now time.Time) []infra.Object {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.changes) == 0 || !now.After(a.until) {
		return nil
	}
	var out []infra.Object
	for _, o := range a.changes {
		out = append(out, o)
	}
	clear(a.changes)
	a.end(len(out), now)
	return out
}
