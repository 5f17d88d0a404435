package formation

import "time"

const (
	// refusalBackoff is how long no join is sent to an endpoint that has refused one, and maxRefusalBackoff the most after further ones.
	refusalBackoff    = 300 * time.Millisecond
	maxRefusalBackoff = 20 * time.Second
	// maxRefusalDoublings keeps the doubled time within the range of a Duration.
	maxRefusalDoublings = 10
)

// joinRefusals counts the joins that an endpoint has refused since it took one.
type joinRefusals struct {
	count int
	last  time.Time
}

// record records the outcome of a join.
func (r *joinRefusals) record(outcome Outcome, now time.Time) {
	switch {
	case outcome.Taken():
		r.count = 0
	case outcome == Refused, outcome == Fenced:
		r.count++
		r.last = now
	}
}

// isBackingOff reports whether the last refusal is so recent that no other join is sent: for twice the time after each refusal.
func (r *joinRefusals) isBackingOff(now time.Time) bool {
	if r.count == 0 {
		return false
	}
	return now.Sub(r.last) < min(refusalBackoff<<min(r.count-1, maxRefusalDoublings), maxRefusalBackoff)
}
