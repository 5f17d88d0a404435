package routing

import (
	"sync"
	"time"
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
	failures int       // in a row
	ejected  time.Time // until then
	taken    Speed     // sums since the last Take
}

// Speed sums up how quickly a group served requests.
type Speed struct {
	Group      string
	Birth      int64
	Requests   int
	FirstToken time.Duration // sum over Requests
	Service    time.Duration // sum over Requests
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
func (h *health) take() Speed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.taken
	h.taken = Speed{}
	return out
}
