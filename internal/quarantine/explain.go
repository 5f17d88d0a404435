package quarantine

import "time"

// held reports whether a request or part is held back: enough endpoints have ended under it, not counting endings that another
// entry explains.
func (t *Table) held(e *entry, now time.Time) bool {
	if !e.suspected() || !now.Before(e.heldUntil) || e.mayBeCleared(now) {
		return false
	}
	return t.countUnexplained(e, func(_ Fingerprint, other *entry) bool { return len(other.endings) > len(e.endings) }) >= endingsToHold
}

// explainedOutside reports whether the endings of an entry may as well have been caused by requests or parts that the signature
// does not contain: those with at least as many endings.
func (t *Table) explainedOutside(e *entry, s *Signature) bool {
	inside := make(map[Fingerprint]bool, 1+len(s.Parts))
	for _, f := range s.all() {
		inside[f] = true
	}
	return t.countUnexplained(e, func(f Fingerprint, other *entry) bool {
		return !inside[f] && len(other.endings) >= len(e.endings)
	}) < endingsToHold
}

// countUnexplained returns the number of incidents in an entry's endings that no suspected entry accepted by isLikelier shares.
// Requests that merely shared endpoints with the cause are not held back. The caller holds t.mu.
func (t *Table) countUnexplained(e *entry, isLikelier func(f Fingerprint, other *entry) bool) int {
	var likelier []*entry
	for f, other := range t.entries {
		if other != e && other.suspected() && isLikelier(f, other) {
			likelier = append(likelier, other)
		}
	}
	var unexplained []Ending
	for _, ending := range e.endings {
		if !containsInstance(likelier, ending) {
			unexplained = append(unexplained, ending)
		}
	}
	return countIncidents(unexplained)
}

func containsInstance(entries []*entry, ending Ending) bool {
	for _, e := range entries {
		if e.hasInstance(ending) {
			return true
		}
	}
	return false
}
