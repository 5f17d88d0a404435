package quarantine

import (
	"slices"
	"time"
)

const (
	// endingsToHold is how many endpoints have to end under a request for it to be held back. Endpoints end for other reasons,
	// too: in a wave of losses two in a row hit the same request, three do not.
	endingsToHold = 3
	// firstHold is how long a request is held back after its third ending; each further one doubles it, up to mostHold. One
	// that is held back by mistake is served again after a minute; one that was rightly so ends an endpoint more at the most
	// each time.
	firstHold = time.Minute
	mostHold  = 32 * time.Minute
	// keepFor is how long the endings under a request are kept that is not held back, and keepHeld how long after its hold
	// has run out.
	keepFor  = 2 * time.Minute
	keepHeld = 10 * time.Minute
	// renewFrom is the part of a hold below which another attempt begins it anew: a request that keeps coming stays held, and
	// nodes are told of that four times in a hold at most.
	renewFrom = 0.75
	// holdSlack is the difference of two nodes' holds that need not be told.
	holdSlack = 5 * time.Second
)

// entry is what a Table keeps of one request.
type entry struct {
	endings  []Ending // in order of time
	answered bool
	until    time.Time // held back until then
	touched  time.Time // when the last ending or answer was noted, by whichever node
	sequence uint64    // of the Table at the last change
	source   Source    // of the last change
	found    uint64    // sequence at the last change that no relay has told of, so that all others need to be told
}

// holdFor is how long a request is held back under which endpoints have ended that many times.
func holdFor(endings int) time.Duration {
	return min(firstHold<<min(max(0, endings-endingsToHold), maxEndings), mostHold)
}

// add takes in an ending and reports whether it is new.
func (e *entry) add(ending Ending) bool {
	if len(e.endings) >= maxEndings || e.has(ending) {
		return false
	}
	e.endings = append(e.endings, ending)
	slices.SortStableFunc(e.endings, func(a, b Ending) int { return a.At.Compare(b.At) })
	return true
}

// has reports whether that life of an endpoint has ended under the request.
func (e *entry) has(ending Ending) bool {
	return slices.ContainsFunc(e.endings, func(known Ending) bool { return known.Life == ending.Life })
}

// suspected reports whether enough endpoints have ended under the request and none has answered it.
func (e *entry) suspected() bool { return !e.answered && incidents(e.endings) >= endingsToHold }

// prolong holds the request back from now on for as long as its endings say, and at least as long as before.
func (e *entry) prolong(now time.Time) {
	if until := now.Add(holdFor(incidents(e.endings))); e.suspected() && until.After(e.until) {
		e.until = until
	}
}

// expired reports whether the entry is of no use any more.
func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.touched) > keepFor && now.Sub(e.until) > keepHeld
}

// record returns what other nodes are told.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	return Record{
		Fingerprint: f, Endings: slices.Clone(e.endings), Answered: e.answered, Hold: max(0, e.until.Sub(now)), Age: max(0, now.Sub(e.touched)),
	}
}
