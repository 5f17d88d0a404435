package picker

import "time"

const (
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.2
	// suspectFor is how long a group that stood still is avoided if nothing is heard of it; each further time it
	// is avoided twice as long, up to suspectAtMost.
	suspectFor    = 3 * time.Second
	suspectAtMost = 12 * time.Second
	// trustOwn is how long a sign of life of a group counts more than the doubts of other nodes.
	trustOwn = 400 * time.Millisecond
	// refusedFor is how long an endpoint that refused a request without naming a time is avoided; each further time it is
	// avoided twice as long, up to refusedAtMost, until it answers one. It is tried anew so often that it soon has its share
	// again, and seldom enough not to use up the budget of repeats.
	refusedFor    = 400 * time.Millisecond
	refusedAtMost = 1600 * time.Millisecond
	// failedFor is how long an endpoint that refused a connection is avoided.
	failedFor = time.Second
)

// health is what this node has seen of a replica group or of an endpoint that serves alone.
type health struct {
	running  int
	progress time.Time     // last byte of an answer
	gap      time.Duration // running mean between two events
	latency  time.Duration // running mean until the first event or the answer
	failures float64       // running mean of failures, 0 to 1
	suspect  time.Time     // stood still since; zero if not
	avoid    time.Time     // until then
	stood    int           // times in a row that it stood still
	refusals int           // rounds of refusals in a row
	refused  time.Time     // it is avoided for them until then
	touched  time.Time
}

func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// avoidMore avoids a group for longer each time, as long as nothing comes from it.
func (h *health) avoidMore(now time.Time) {
	if now.Before(h.avoid) {
		return // another request of the same trouble
	}
	h.avoid = now.Add(min(suspectFor<<h.stood, suspectAtMost))
	h.stood++
}

// refuse avoids what refused a request for longer each time, until it answers one.
func (h *health) refuse(now time.Time) {
	if now.Before(h.refused) {
		return // another request of the same trouble
	}
	h.refused = now.Add(min(refusedFor<<h.refusals, refusedAtMost))
	if refusedFor<<h.refusals < refusedAtMost {
		h.refusals++
	}
}

func (h *health) refusing(now time.Time) bool { return now.Before(h.refused) }

func (h *health) suspected(now time.Time) bool {
	return !h.suspect.IsZero() && now.Before(h.avoid)
}
