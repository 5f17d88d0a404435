package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxEntries is the maximum number of entries in a Table, which takes about 250 KB. The ending of a fully loaded endpoint
// adds about 20 entries, so that this suffices for 50 endings within entryTTL.
const maxEntries = 1024

// Table holds one node's records of requests under which endpoints have ended. Endings are merged as a set, so that all
// nodes arrive at the same state whatever the order of their messages.
type Table struct {
	// OnHeld is called when a request begins to be held back; it must not block. It may be nil.
	OnHeld func(r Record)

	mu             sync.Mutex
	entries        map[Fingerprint]*entry
	sequence       uint64 // incremented with each change
	recentAnswers  recentSet
	digest         uint64 // of the suspected requests,
	digestSequence uint64 // at this sequence
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[Fingerprint]*entry)} }

// Ended records that an endpoint ended for no known other reason while it was running the requests, and reports whether any
// of them is newly held back.
func (t *Table) Ended(ending Ending, running []Fingerprint, now time.Time) bool {
	held := false
	for _, f := range running {
		held = t.change(f, now, func(e *entry) bool { return e.add(ending) }) || held
	}
	return held
}

// Answered records that an endpoint has answered the request completely.
func (t *Table) Answered(f Fingerprint, now time.Time) {
	t.mu.Lock()
	t.recentAnswers.add(f)
	_, known := t.entries[f]
	t.mu.Unlock()
	if known {
		t.change(f, now, func(*entry) bool { return false })
	}
}

// change applies update, which reports whether it changed the entry, to the entry of a request. It reports whether the
// request is newly held back.
func (t *Table) change(f Fingerprint, now time.Time, update func(e *entry) bool) bool {
	t.mu.Lock()
	e, known := t.entries[f]
	if !known {
		e = &entry{}
	}
	wasSuspected := e.suspected()
	changed := update(e)
	if t.recentAnswers.has(f) && !e.answered {
		e.answered, changed = true, true
	}
	if !changed {
		t.mu.Unlock()
		return false
	}
	e.extendHold(now)
	e.updatedAt = now
	t.commit(f, e, Source{}, now)
	held := !wasSuspected && e.suspected()
	record := e.record(f, now)
	t.mu.Unlock()
	if held && t.OnHeld != nil {
		t.OnHeld(record)
	}
	return held
}

// commit records that an entry was changed by source. The caller holds t.mu.
func (t *Table) commit(f Fingerprint, e *entry, source Source, now time.Time) {
	if _, known := t.entries[f]; !known {
		t.makeRoom(now)
		t.entries[f] = e
	}
	t.sequence++
	e.sequence, e.source = t.sequence, source
	if !source.Relay {
		e.nonRelaySequence = t.sequence
	}
}

// makeRoom drops expired entries from a full table. If none has expired, it drops the entry with the fewest endings and,
// among those, the one that was updated longest ago.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	t.sweep(now)
	if len(t.entries) < maxEntries {
		return
	}
	var evicted Fingerprint
	var evictedEntry *entry
	for f, e := range t.entries {
		if evictedEntry == nil || cmp.Or(cmp.Compare(len(e.endings), len(evictedEntry.endings)), e.updatedAt.Compare(evictedEntry.updatedAt)) < 0 {
			evicted, evictedEntry = f, e
		}
	}
	delete(t.entries, evicted)
}

// Sweep drops expired entries.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

func (t *Table) sweep(now time.Time) {
	for f, e := range t.entries {
		if e.expired(now) {
			delete(t.entries, f)
		}
	}
}

// Held reports whether an attempt of the request must be held back, and for how long from now. Attempts that are held back
// renew the hold.
func (t *Table) Held(f Fingerprint, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !t.held(e, now) {
		return 0, false
	}
	remaining := e.heldUntil.Sub(now)
	if hold := holdDuration(countIncidents(e.endings)); remaining < time.Duration(renewThreshold*float64(hold)) {
		e.heldUntil = now.Add(hold)
		t.commit(f, e, Source{}, now)
		remaining = hold
	}
	return remaining, true
}

// held reports whether a request is held back: enough endpoints have ended under it, not counting endings that another
// request explains.
func (t *Table) held(e *entry, now time.Time) bool {
	if !e.suspected() || !now.Before(e.heldUntil) {
		return false
	}
	var unexplained []Ending
	for _, ending := range e.endings {
		if !t.explained(ending, e) {
			unexplained = append(unexplained, ending)
		}
	}
	return countIncidents(unexplained) >= endingsToHold
}

// explained reports whether another request is the more likely cause of the ending: a suspected one that has more endings,
// including this one. Requests that merely shared endpoints with it are not held back.
func (t *Table) explained(ending Ending, e *entry) bool {
	for _, other := range t.entries {
		if other.suspected() && len(other.endings) > len(e.endings) && other.hasInstance(ending) {
			return true
		}
	}
	return false
}

// Holds returns the requests that are held back at now.
func (t *Table) Holds(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for f, e := range t.entries {
		if t.held(e, now) {
			out = append(out, e.record(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Sequence returns the number of changes so far.
func (t *Table) Sequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sequence
}
