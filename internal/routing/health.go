package routing

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

const (
	// ejectAfter is how many failures in a row take a group out of this node's choice.
	ejectAfter = 2
	ejectBase  = 2 * time.Second
	ejectMost  = 30 * time.Second
)

// health is what this node has seen of one group itself.
type health struct {
	mu       sync.Mutex
	failures int             // in a row
	ejected  time.Time       // until then
	paused   time.Time       // end of the pause that it has asked for
	taken    allocator.Speed // sums since they were last taken
}

// fail counts a failure; each further one in a row doubles how long the group is left alone.
func (h *health) fail(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if h.failures >= ejectAfter {
		wait := ejectBase << min(h.failures-ejectAfter, 10)
		h.ejected = now.Add(min(wait, ejectMost))
	}
}

// pause leaves the group alone until then, as it has asked for.
func (h *health) pause(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.paused) {
		h.paused = until
	}
}

// pauseLeft returns what is left of the group's pause, zero if it has none.
func (h *health) pauseLeft(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.paused.Sub(now))
}

func (h *health) succeed(firstToken, service time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.ejected = time.Time{}
	h.taken.Requests++
	h.taken.FirstToken += firstToken
	h.taken.Service += service
}

func (h *health) isEjected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.ejected)
}

// take returns the sums and starts new ones.
func (h *health) take() allocator.Speed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.taken
	h.taken = allocator.Speed{}
	return out
}
