package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// failurePenalty is added to a group's cost for each recent failure, and decays.
	failurePenalty = 4.0
	failureHalf    = 2 * time.Second
	// latencyWeight is how strongly a new first-token time moves the average upwards; downwards it
	// moves by latencyDecay, so that a slow answer is remembered longer than a quick one.
	latencyWeight = 0.5
	latencyDecay  = 0.1
)

// health is what this node has seen of one group itself.
type health struct {
	mu       sync.Mutex
	failures float64
	failedAt time.Time
	latency  float64 // seconds until the first token, a peak-sensitive average
	samples  int
}

func (h *health) fail(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = h.decayed(now) + 1
	h.failedAt = now
}

func (h *health) succeed(firstToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := firstToken.Seconds()
	switch {
	case h.samples == 0:
		h.latency = s
	case s > h.latency:
		h.latency += (s - h.latency) * latencyWeight
	default:
		h.latency += (s - h.latency) * latencyDecay
	}
	h.samples++
}

func (h *health) decayed(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp2(-now.Sub(h.failedAt).Seconds()/failureHalf.Seconds())
}

func (h *health) read(now time.Time) (penalty, latency float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.decayed(now) * failurePenalty, h.latency
}
