package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/clock"
)

// Since returns up to limit records that changed after the given sequence, oldest change first, and the sequence up to which
// they are complete. Up to as many suspected requests and parts that changed later follow, because they change with every
// ending and would always come last. It omits entries whose last change came from a source that accept rejects, unless an earlier change
// after the sequence did not come from a relay and so has to reach all nodes.
func (t *Table) Since(sequence uint64, accept func(Source) bool, limit int) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sequence >= t.sequence {
		return nil, t.sequence
	}
	type changedEntry struct {
		fingerprint Fingerprint
		entry       *entry
	}
	var changed []changedEntry
	for f, e := range t.entries {
		hasNonRelayChange := e.nonRelaySequence > sequence && e.nonRelaySequence < e.sequence
		if e.sequence > sequence && (hasNonRelayChange || accept(e.source)) {
			changed = append(changed, changedEntry{f, e})
		}
	}
	slices.SortFunc(changed, func(a, b changedEntry) int { return cmp.Compare(a.entry.sequence, b.entry.sequence) })
	reached := t.sequence
	if len(changed) > limit {
		reached = changed[limit-1].entry.sequence
		suspected := slices.DeleteFunc(slices.Clone(changed[limit:]), func(c changedEntry) bool { return !c.entry.suspected() })
		changed = append(changed[:limit], suspected[:min(len(suspected), limit)]...)
	}
	now := clock.Now()
	out := make([]Record, 0, len(changed))
	for _, c := range changed {
		out = append(out, c.entry.record(c.fingerprint, now))
	}
	return out, reached
}

// Merge adds records received from a node and reports whether any request is newly held back. asOf is the time to which the
// ages in the records refer; it is not after the time at which they were sent.
func (t *Table) Merge(records []Record, from Source, asOf time.Time) bool {
	now := clock.Now()
	var held []Record
	t.mu.Lock()
	for _, r := range records {
		e, known := t.entries[r.Fingerprint]
		if !known {
			e = &entry{part: r.Part, begunAt: t.begins.at(r.Fingerprint), updatedAt: asOf.Add(-r.Age)}
		}
		wasSuspected := e.suspected()
		foundHere, changed := t.merge(e, r, asOf, now)
		if !changed || !known && e.expired(now) {
			continue
		}
		source := from
		if foundHere {
			source = Source{}
		}
		t.commit(r.Fingerprint, e, source, now)
		if !wasSuspected && e.suspected() {
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

// merge adds a record to an entry. changed reports whether the entry changed or the sender has to be told of it; foundHere
// reports whether this node has recorded an answer that the record lacks. The caller holds t.mu.
func (t *Table) merge(e *entry, r Record, asOf, now time.Time) (foundHere, changed bool) {
	foundHere = e.part && e.begunAt.After(r.BegunAt) && slices.ContainsFunc(r.Endings, func(ending Ending) bool { return !ending.At.After(e.begunAt) })
	changed = e.begin(r.BegunAt) || foundHere
	for _, ending := range r.Endings {
		changed = e.add(ending) || changed
	}
	if r.Answered && !e.answered {
		e.answered, changed = true, true
	}
	if !e.answered && t.answers.has(r.Fingerprint) {
		e.answered, foundHere, changed = true, true, true
	}
	if changed {
		e.extendHold(now)
		if at := asOf.Add(-r.Age); at.After(e.updatedAt) {
			e.updatedAt = at
		}
	}
	if until := asOf.Add(r.Hold); r.Hold > 0 && until.After(e.heldUntil) && (e.suspected() || !e.part) {
		changed = changed || until.Sub(e.heldUntil) > holdTolerance
		e.heldUntil = until
	}
	return foundHere, changed
}

// Suspected returns up to limit requests under which enough endpoints have ended to hold them back, those with the most
// endings first.
func (t *Table) Suspected(limit int) []Record {
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
	return out[:min(len(out), limit)]
}

// Digest returns a hash of the suspected requests and their endings; it is equal in tables that agree on them.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digestSequence == t.sequence {
		return t.digest
	}
	t.digest, t.digestSequence = 0, t.sequence
	for f, e := range t.entries {
		if e.suspected() {
			t.digest ^= e.digest(f)
		}
	}
	return t.digest
}

// digest returns a hash of the request and its endings, independent of their order.
func (e *entry) digest(f Fingerprint) uint64 {
	content := binary.BigEndian.AppendUint64(nil, uint64(f))
	hashes := make([]uint32, 0, len(e.endings))
	for _, ending := range e.endings {
		hashes = append(hashes, ending.InstanceHash)
	}
	slices.Sort(hashes)
	for _, instance := range hashes {
		content = binary.BigEndian.AppendUint32(content, instance)
	}
	return xxhash.Sum64(content)
}
