package picker

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// waiter is a request that waits for a place.
type waiter struct {
	requirements *Requirements
	arrived      time.Time
	granted      chan *Place
}

func (p *Picker) enqueue(w *Requirements) *waiter {
	q := &waiter{requirements: w, arrived: clock.Now(), granted: make(chan *Place, 1)}
	p.waiting = append(p.waiting, q)
	p.waitingByModel[w.Model]++
	return q
}

func (p *Picker) dequeue(q *waiter) {
	if i := slices.Index(p.waiting, q); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.waitingByModel[q.requirements.Model]--
	}
}

// hasWaiterFor reports whether a request for the same service and model, at least as urgent, is already waiting.
func (p *Picker) hasWaiterFor(w *Requirements) bool {
	for _, q := range p.waiting {
		if q.requirements.Service == w.Service && q.requirements.Model == w.Model && q.requirements.Priority <= w.Priority {
			return true
		}
	}
	return false
}

// grant gives free places to waiting requests: the most urgent first, then those of the workspace with the fewest running
// requests, then those that have waited longest.
func (p *Picker) grant(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	order := slices.Clone(p.waiting)
	slices.SortStableFunc(order, func(a, b *waiter) int {
		if a.requirements.Priority != b.requirements.Priority {
			return a.requirements.Priority - b.requirements.Priority
		}
		return p.runningByWorkspace[a.requirements.Workspace] - p.runningByWorkspace[b.requirements.Workspace]
	})
	full := make(map[string]bool)
	for _, q := range order {
		kind := q.requirements.Service + "/" + q.requirements.Model
		if full[kind] {
			continue
		}
		place, _ := p.tryAcquire(q.requirements, now, false)
		if place == nil {
			full[kind] = true
			continue
		}
		p.dequeue(q)
		q.granted <- place
	}
}
