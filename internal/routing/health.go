package routing

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which this node ejects a group.
	ejectAfterFailures = 2
	minEjection        = 2 * time.Second
	maxEjection        = 30 * time.Second
)

// health is what this node itself has observed of one group or endpoint.
type health struct {
	mu           sync.Mutex
	failures     int             // number of consecutive failures
	ejectedUntil time.Time       // end of the ejection for failures
	pausedUntil  time.Time       // end of the pause that the group has requested
	speed        allocator.Speed // sums since the last takeSpeed
}

// recordFailure counts a failure. From ejectAfterFailures consecutive failures on it ejects the group, for twice
// as long after each further one, up to maxEjection.
func (h *health) recordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if h.failures >= ejectAfterFailures {
		wait := minEjection << min(h.failures-ejectAfterFailures, 10)
		h.ejectedUntil = now.Add(min(wait, maxEjection))
	}
}

// recordPause stops the use of the group until the given time, as the group has requested. A pause that ends later
// stays in force.
func (h *health) recordPause(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// remainingPause returns the time until the group's pause ends, zero if it has none.
func (h *health) remainingPause(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.pausedUntil.Sub(now))
}

func (h *health) recordSuccess(firstToken, service time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.ejectedUntil = time.Time{}
	h.speed.Requests++
	h.speed.FirstToken += firstToken
	h.speed.Service += service
}

func (h *health) isEjected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.ejectedUntil)
}

// takeSpeed returns the sums and resets them.
func (h *health) takeSpeed() allocator.Speed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.speed
	h.speed = allocator.Speed{}
	return out
}
