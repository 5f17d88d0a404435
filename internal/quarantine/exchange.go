package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Since returns the first of what has changed after that sequence, up to most records, and the sequence that they reach.
// What the node named except has told itself is left out.
func (t *Table) Since(sequence uint64, except string, most int) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence >= t.sequence {
		return nil, t.sequence
	}
	type found struct {
		fingerprint Fingerprint
		entry       *entry
	}
	var changed []found
	for f, e := range t.entries {
		if e.sequence > sequence && (except == "" || e.source != except) {
			changed = append(changed, found{f, e})
		}
	}
	slices.SortFunc(changed, func(a, b found) int { return cmp.Compare(a.entry.sequence, b.entry.sequence) })
	reached := t.sequence
	if len(changed) > most {
		changed = changed[:most]
		reached = changed[most-1].entry.sequence
	}
	now := time.Now()
	out := make([]Record, 0, len(changed))
	for _, c := range changed {
		r := c.entry.record(c.fingerprint, now)
		r.Endings = slices.Clone(r.Endings)
		out = append(out, r)
	}
	return out, reached
}

// Merge takes in what a node has told, as of an instant not after that, and reports whether a request is held back now that
// was not before.
func (t *Table) Merge(records []Record, from string, asOf time.Time) bool {
	now := time.Now()
	var held []Record
	t.mu.Lock()
	for _, r := range records {
		e, known := t.entries[r.Fingerprint]
		if !known {
			e = &entry{}
		}
		was := e.suspected()
		if !t.merge(e, r, asOf, now) {
			continue
		}
		source := ""
		if len(e.endings) == len(r.Endings) && e.answered == r.Answered {
			source = from
		}
		t.store(r.Fingerprint, e, source, now)
		if !was && e.suspected() {
			held = append(held, e.record(r.Fingerprint, now))
		}
	}
	t.mu.Unlock()
	if t.OnHeld != nil {
		for _, r := range held {
			t.OnHeld(r)
		}
	}
	return len(held) > 0
}

// merge adds a record to an entry and reports whether that is news; the lock is held.
func (t *Table) merge(e *entry, r Record, asOf, now time.Time) bool {
	news := false
	for _, ending := range r.Endings {
		news = e.add(ending) || news
	}
	if !e.answered && (r.Answered || t.recent.has(r.Fingerprint)) {
		e.answered, news = true, true
	}
	if news {
		e.prolong(now)
	}
	if until := asOf.Add(r.Hold); r.Hold > 0 && until.After(e.until) {
		news = news || until.Sub(e.until) > holdSlack
		e.until = until
	}
	return news
}
