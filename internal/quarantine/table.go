package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxEntries bounds a Table, some 250 KB. The end of a full endpoint makes some 20 entries, so that is 50 endings within
// keepFor.
const maxEntries = 1024

// Table is what one node knows of requests under which endpoints have ended. What several nodes know adds up: endings are
// a set, and whatever order they are told in, all come to know the same.
type Table struct {
	// OnHeld is called when a request begins to be held back; it must not block. Nil if nobody needs to be told.
	OnHeld func(r Record)

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	sequence uint64 // grows with each change
	recent   recent
	digest   uint64 // of what is suspected,
	digested uint64 // as of that sequence
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[Fingerprint]*entry)} }

// Ended notes that an endpoint has ended while it was running those requests, for no reason that is known, and reports
// whether one of them begins to be held back.
func (t *Table) Ended(ending Ending, running []Fingerprint, now time.Time) bool {
	held := false
	for _, f := range running {
		held = t.change(f, now, func(e *entry) bool { return e.add(ending) }) || held
	}
	return held
}

// Answered notes that an endpoint has answered the request whole.
func (t *Table) Answered(f Fingerprint, now time.Time) {
	t.mu.Lock()
	t.recent.put(f)
	_, known := t.entries[f]
	t.mu.Unlock()
	if known {
		t.change(f, now, func(*entry) bool { return false })
	}
}

// change applies update, which reports whether anything is new, to the entry of a request. It reports whether the request
// begins to be held back.
func (t *Table) change(f Fingerprint, now time.Time, update func(e *entry) bool) bool {
	t.mu.Lock()
	e, known := t.entries[f]
	if !known {
		e = &entry{}
	}
	was := e.suspected()
	news := update(e)
	if t.recent.has(f) && !e.answered {
		e.answered, news = true, true
	}
	if !news {
		t.mu.Unlock()
		return false
	}
	e.prolong(now)
	e.touched = now
	t.store(f, e, Source{}, now)
	held := !was && e.suspected()
	record := e.record(f, now)
	t.mu.Unlock()
	if held && t.OnHeld != nil {
		t.OnHeld(record)
	}
	return held
}

// store notes a change of an entry; the lock is held.
func (t *Table) store(f Fingerprint, e *entry, source Source, now time.Time) {
	if _, known := t.entries[f]; !known {
		t.makeRoom(now)
		t.entries[f] = e
	}
	t.sequence++
	e.sequence, e.source = t.sequence, source
	if !source.Relay {
		e.found = t.sequence
	}
}

// makeRoom drops what has expired and, of a full table, the entry with the fewest endings that was changed longest ago.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	t.sweep(now)
	if len(t.entries) < maxEntries {
		return
	}
	var least Fingerprint
	var of *entry
	for f, e := range t.entries {
		if of == nil || cmp.Or(cmp.Compare(len(e.endings), len(of.endings)), e.touched.Compare(of.touched)) < 0 {
			least, of = f, e
		}
	}
	delete(t.entries, least)
}

// Sweep drops what has expired.
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

// Held reports whether an attempt of the request is to be held back, and for how long from now on. Attempts that are held
// back keep the hold from running out.
func (t *Table) Held(f Fingerprint, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !t.held(e, now) {
		return 0, false
	}
	left := e.until.Sub(now)
	if hold := holdFor(incidents(e.endings)); left < time.Duration(renewFrom*float64(hold)) {
		e.until = now.Add(hold)
		t.store(f, e, Source{}, now)
		left = hold
	}
	return left, true
}

// held reports whether a request is held back: enough endpoints have ended under it, not counting those that another one
// explains.
func (t *Table) held(e *entry, now time.Time) bool {
	if !e.suspected() || !now.Before(e.until) {
		return false
	}
	var own []Ending
	for _, ending := range e.endings {
		if !t.explained(ending, e) {
			own = append(own, ending)
		}
	}
	return incidents(own) >= endingsToHold
}

// explained reports whether another request has ended the endpoint as far as can be known: one that is suspected itself,
// of more endings. Whoever shared endpoints with a request that ends them is not held back for it.
func (t *Table) explained(ending Ending, e *entry) bool {
	for _, other := range t.entries {
		if other.suspected() && len(other.endings) > len(e.endings) && other.has(ending) {
			return true
		}
	}
	return false
}

// Holds returns the requests that are held back now.
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
