package picker

import "time"

const (
	// smoothing is the weight of a new sample in an exponential moving average.
	smoothing = 0.2
	// stallBackoff is how long a stalled group is avoided unless an event arrives from it. The time doubles with each further
	// stall, up to maxStallBackoff.
	stallBackoff    = 3 * time.Second
	maxStallBackoff = 12 * time.Second
	// recoveryTime is how long a group that has gone on after a stall takes no streams that other groups are silent on: those may go on
	// at any moment, too.
	recoveryTime = minSuspectAfter
	// trustOwnProgressFor is how long an event that this node received from a group overrides the suspicion of other nodes.
	trustOwnProgressFor = 400 * time.Millisecond
	// refusalBackoff is how long an endpoint that refused a request without Retry-After is avoided. The time doubles with each
	// further refusal, up to maxRefusalBackoff, until the endpoint answers a request. That is short enough for the endpoint to
	// regain its share soon, and long enough not to use up the retry budget.
	refusalBackoff    = 400 * time.Millisecond
	maxRefusalBackoff = 1600 * time.Millisecond
	// unreachableBackoff is how long a standalone endpoint that could not be reached is avoided.
	unreachableBackoff = time.Second
)

// health is what this node has observed of a replica group or of a standalone endpoint.
type health struct {
	running      int           // requests of this node
	lastProgress time.Time     // arrival of the last event or answer
	meanGap      time.Duration // moving average between two events
	meanLatency  time.Duration // moving average until the first event or the answer
	failureRate  float64       // moving average of failures, 0 to 1
	suspectSince time.Time     // when it stalled or could not be reached; zero if neither
	recoveredAt  time.Time     // when it last went on after a stall
	avoidUntil   time.Time     // end of the back-off after a stall or a failed connection
	stalls       int           // consecutive stalls
	refusals     int           // consecutive doublings of the refusal back-off
	refusedUntil time.Time     // end of the back-off after a refusal
	lastUsed     time.Time
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// backOffStall starts the back-off after a stall, which doubles each time until an event arrives.
func (h *health) backOffStall(now time.Time) {
	if now.Before(h.avoidUntil) {
		return // another request hit by the same stall
	}
	h.avoidUntil = now.Add(min(stallBackoff<<h.stalls, maxStallBackoff))
	h.stalls++
}

// backOffRefusal starts the back-off after a refusal, which doubles each time until a request is answered.
func (h *health) backOffRefusal(now time.Time) {
	if now.Before(h.refusedUntil) {
		return // another request refused in the same back-off period
	}
	h.refusedUntil = now.Add(min(refusalBackoff<<h.refusals, maxRefusalBackoff))
	if refusalBackoff<<h.refusals < maxRefusalBackoff {
		h.refusals++
	}
}

func (h *health) refusing(now time.Time) bool { return now.Before(h.refusedUntil) }

func (h *health) recovering(now time.Time) bool { return now.Sub(h.recoveredAt) < recoveryTime }

func (h *health) suspected(now time.Time) bool {
	return !h.suspectSince.IsZero() && now.Before(h.avoidUntil)
}
