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
	// renewThreshold is the fraction of a hold that must remain for an attempt not to renew it. Attempts keep a request
	// held, and renewals are sent to other nodes at most four times per hold.
	renewThreshold = 0.75
	// holdTolerance is the difference between the hold times of two nodes that need not be exchanged.
	holdTolerance = 5 * time.Second
)

// entry is the state of one request in a Table.
type entry struct {
	endings          []Ending // sorted by time
	answered         bool
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
	if len(e.endings) >= maxEndings || e.hasInstance(ending) {
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
		Fingerprint: f, Endings: slices.Clone(e.endings), Answered: e.answered, Hold: max(0, e.heldUntil.Sub(now)), Age: max(0, now.Sub(e.updatedAt)),
	}
}
