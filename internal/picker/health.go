package picker

import "time"

const (
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.2
	// suspectFor is how long a group that stood still is avoided if nothing is heard of it.
	suspectFor = 3 * time.Second
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
	touched  time.Time
}

func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

func (h *health) suspected(now time.Time) bool {
	return !h.suspect.IsZero() && now.Before(h.avoid)
}
