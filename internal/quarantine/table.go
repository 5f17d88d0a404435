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
	// OnHeld is called when a request or part begins to be held back; it must not block. It may be nil.
	OnHeld func(r Record)
	// MayTry reports whether this is the node that sends a request with a held part again after each hold, to find out whether
	// the part still ends endpoints. It must not block; nil means never.
	MayTry func(f Fingerprint) bool

	mu             sync.Mutex
	entries        map[Fingerprint]*entry
	sequence       uint64      // incremented with each change
	answers        recentTimes // of whole requests
	begins         recentTimes // of answers, by part
	endedAt        time.Time   // when an ending was last recorded, by any node
	digest         uint64      // of the suspected requests,
	digestSequence uint64      // at this sequence
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]*entry), answers: newRecentTimes(recentAnswers), begins: newRecentTimes(recentBegins)}
}

// Ended records that an endpoint ended for no known other reason while it was running the requests, and reports whether any
// of them is newly held back.
func (t *Table) Ended(ending Ending, running []Fingerprint, now time.Time) bool {
	return t.ended(ending, running, false, now)
}

// PartsEnded records that an endpoint ended for no known other reason before it had begun to answer a prompt with the parts,
// and reports whether any of them is newly held back.
func (t *Table) PartsEnded(ending Ending, parts []Fingerprint, now time.Time) bool {
	return t.ended(ending, parts, true, now)
}

func (t *Table) ended(ending Ending, fingerprints []Fingerprint, part bool, now time.Time) bool {
	held := false
	for _, f := range fingerprints {
		held = t.change(f, now, func(e *entry) bool { e.part = part; return e.add(ending) }) || held
	}
	return held
}

// Begun records that an answer to a prompt with the parts has begun.
func (t *Table) Begun(parts []Fingerprint, now time.Time) {
	for _, f := range t.recordBegins(parts, now) {
		t.change(f, now, func(e *entry) bool { return e.begin(now) })
	}
}

// recordBegins records the time for each part and returns the parts that have an entry.
func (t *Table) recordBegins(parts []Fingerprint, now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var known []Fingerprint
	for _, f := range parts {
		t.begins.set(f, now)
		if t.entries[f] != nil {
			known = append(known, f)
		}
	}
	return known
}

// Answered records that an endpoint has answered the request completely.
func (t *Table) Answered(f Fingerprint, now time.Time) {
	t.mu.Lock()
	t.answers.set(f, now)
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
		e = &entry{begunAt: t.begins.at(f)}
	}
	wasSuspected := e.suspected()
	changed := update(e)
	if t.answers.has(f) && !e.answered {
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
	if len(e.endings) > 0 && e.endings[len(e.endings)-1].At.After(t.endedAt) {
		t.endedAt = e.endings[len(e.endings)-1].At
	}
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
