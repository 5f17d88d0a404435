package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/clock"
)

// Since returns the first of what has changed after that sequence, up to most records, and the sequence that they reach.
// Left out are entries that were changed last by a source that tell does not accept, unless there was a change before it
// that everyone needs to be told of.
func (t *Table) Since(sequence uint64, tell func(Source) bool, most int) ([]Record, uint64) {
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
		overlaid := e.found > sequence && e.found < e.sequence
		if e.sequence > sequence && (overlaid || tell(e.source)) {
			changed = append(changed, found{f, e})
		}
	}
	slices.SortFunc(changed, func(a, b found) int { return cmp.Compare(a.entry.sequence, b.entry.sequence) })
	reached := t.sequence
	if len(changed) > most {
		changed = changed[:most]
		reached = changed[most-1].entry.sequence
	}
	now := clock.Now()
	out := make([]Record, 0, len(changed))
	for _, c := range changed {
		out = append(out, c.entry.record(c.fingerprint, now))
	}
	return out, reached
}

// Merge takes in what a node has told, as of an instant not after that, and reports whether a request is held back now that
// was not before.
func (t *Table) Merge(records []Record, from Source, asOf time.Time) bool {
	now := clock.Now()
	var held []Record
	t.mu.Lock()
	for _, r := range records {
		e, known := t.entries[r.Fingerprint]
		if !known {
			e = &entry{touched: asOf.Add(-r.Age)}
		}
		was := e.suspected()
		found, news := t.merge(e, r, asOf, now)
		if !news || !known && e.expired(now) {
			continue
		}
		source := from
		if found {
			source = Source{}
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

// merge adds a record to an entry and reports whether that is news, and whether this node itself has found something by it
// that the other one did not know; the lock is held.
func (t *Table) merge(e *entry, r Record, asOf, now time.Time) (found, news bool) {
	for _, ending := range r.Endings {
		news = e.add(ending) || news
	}
	if r.Answered && !e.answered {
		e.answered, news = true, true
	}
	if !e.answered && t.recent.has(r.Fingerprint) {
		e.answered, found, news = true, true, true
	}
	if news {
		e.prolong(now)
		if at := asOf.Add(-r.Age); at.After(e.touched) {
			e.touched = at
		}
	}
	if until := asOf.Add(r.Hold); r.Hold > 0 && until.After(e.until) {
		news = news || until.Sub(e.until) > holdSlack
		e.until = until
	}
	return found, news
}

// Suspected returns the requests under which enough endpoints have ended to hold them back, up to most, those with the most
// endings first.
func (t *Table) Suspected(most int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	var out []Record
	for f, e := range t.entries {
		if e.suspected() {
			out = append(out, e.record(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(len(b.Endings), len(a.Endings)) })
	return out[:min(len(out), most)]
}

// Digest returns a number that is the same in two tables that suspect the same requests for the same endings.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digested == t.sequence {
		return t.digest
	}
	t.digest, t.digested = 0, t.sequence
	for f, e := range t.entries {
		if e.suspected() {
			t.digest ^= e.digest(f)
		}
	}
	return t.digest
}

// digest stands for the request and its endings, in whatever order they were noted.
func (e *entry) digest(f Fingerprint) uint64 {
	content := binary.BigEndian.AppendUint64(nil, uint64(f))
	lives := make([]uint32, 0, len(e.endings))
	for _, ending := range e.endings {
		lives = append(lives, ending.Life)
	}
	slices.Sort(lives)
	for _, life := range lives {
		content = binary.BigEndian.AppendUint32(content, life)
	}
	return xxhash.Sum64(content)
}
