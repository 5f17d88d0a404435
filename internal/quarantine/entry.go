package quarantine

import (
	"slices"
	"time"
)

const (
	// endingsToHold is how many endpoints must end under a request before it is held back. Endpoints also end for other
	// reasons: in a series of unrelated losses, two in a row hit the same request, but three do not.
	endingsToHold = 3
	// initialHold is how long a request is held back after endingsToHold endings; each further ending doubles the time, up
	// to maxHold. A request that is held back by mistake is served again after a minute; one that is held back rightly ends
	// at most one more endpoint after each hold.
	initialHold = time.Minute
	maxHold     = 32 * time.Minute
	// entryTTL is how long the endings of a request that is not held back are kept, and heldEntryTTL how long they are kept
	// after a hold has expired.
	entryTTL     = 2 * time.Minute
	heldEntryTTL = 10 * time.Minute
	// clearingTime is how long a part on which answers have begun before is not held back after the first of its endings.
	// Answers on a part that many prompts have begin within that time at any node, or are reported by another.
	clearingTime = 500 * time.Millisecond
	// renewThreshold is the fraction of a hold that must remain for an attempt not to renew it. Attempts keep a request
	// held, and renewals are sent to other nodes at most four times per hold.
	renewThreshold = 0.75
	// holdTolerance is the difference between the hold times of two nodes that need not be exchanged.
	holdTolerance = 5 * time.Second
)

// entry is the state of one request, or of one part of a prompt, in a Table.
type entry struct {
	part             bool      // it is a part of a prompt
	endings          []Ending  // sorted by time; for a part, those since an answer last began on it
	answered         bool      // an endpoint has answered the request
	begunAt          time.Time // when an answer last began on the part; zero if none is known to have begun
	triedAt          time.Time // when this node last sent a request in spite of the hold
	trials           int       // how many such requests it has sent since an answer last began
	heldUntil        time.Time // end of the hold
	updatedAt        time.Time // when the last ending or answer was recorded by any node
	sequence         uint64    // the Table's sequence at the last change
	source           Source    // source of the last change
	nonRelaySequence uint64    // sequence at the last change not received from a relay; all other nodes need it
}

// holdDuration returns how long a request with that many endings is held back.
func holdDuration(endings int) time.Duration {
	return min(initialHold<<min(max(0, endings-endingsToHold), maxEndings), maxHold)
}

// add adds an ending and reports whether it is new.
func (e *entry) add(ending Ending) bool {
	if len(e.endings) >= maxEndings || e.hasInstance(ending) || !ending.At.After(e.begunAt) {
		return false
	}
	e.endings = append(e.endings, ending)
	slices.SortStableFunc(e.endings, func(a, b Ending) int { return a.At.Compare(b.At) })
	return true
}

// hasInstance reports whether an ending of the same instance of the endpoint is already recorded.
func (e *entry) hasInstance(ending Ending) bool {
	return slices.ContainsFunc(e.endings, func(known Ending) bool { return known.InstanceHash == ending.InstanceHash })
}

// begin records that an answer began at the given time, and reports whether that clears the part of endings. A part that ends
// every endpoint which begins to write on it did not do so until then, so the earlier endings have other causes. They are
// forgotten, not the later ones: a part may begin to end endpoints after it was answered for years.
func (e *entry) begin(at time.Time) bool {
	if !at.After(e.begunAt) {
		return false
	}
	e.begunAt = at
	before := len(e.endings)
	e.endings = slices.DeleteFunc(e.endings, func(ending Ending) bool { return !ending.At.After(at) })
	if len(e.endings) == 0 {
		e.heldUntil, e.trials = time.Time{}, 0
	}
	return len(e.endings) != before
}

// mayBeCleared reports whether answers on the part are still expected to begin and to clear it of its endings.
func (e *entry) mayBeCleared(now time.Time) bool {
	return e.part && !e.begunAt.IsZero() && now.Sub(e.endings[0].At) < clearingTime
}

// suspected reports whether enough endpoints have ended under the request and none has answered it.
func (e *entry) suspected() bool { return !e.answered && countIncidents(e.endings) >= endingsToHold }

// extendHold holds a suspected request back from now on for holdDuration; it never shortens an existing hold.
func (e *entry) extendHold(now time.Time) {
	if until := now.Add(holdDuration(countIncidents(e.endings))); e.suspected() && until.After(e.heldUntil) {
		e.heldUntil = until
	}
}

// expired reports whether the entry can be dropped.
func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.updatedAt) > entryTTL && now.Sub(e.heldUntil) > heldEntryTTL
}

// record returns the state of the entry for other nodes.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	return Record{
		Fingerprint: f, Part: e.part, Endings: slices.Clone(e.endings), Answered: e.answered, BegunAt: e.begunAt,
		Hold: max(0, e.heldUntil.Sub(now)), Age: max(0, now.Sub(e.updatedAt)),
	}
}
