package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

// leavingFor is how long it is remembered that an endpoint has said it leaves; it is gone long before.
const leavingFor = 10 * time.Minute

// Leaving notes that the endpoint has said in an answer that it leaves. The platform's list may tell later, or not at all.
func (p *Place) Leaving(now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.leaving[p.Endpoint.ID] = now
}

// leaves reports whether an endpoint has said that it leaves, in its entry or in an answer.
func (p *Picker) leaves(e *endpoint.Endpoint) bool {
	_, told := p.leaving[e.ID]
	return e.Draining || told
}

// sweepLeaving forgets the endpoints that are gone.
func (p *Picker) sweepLeaving(now time.Time) {
	for id, at := range p.leaving {
		if now.Sub(at) > leavingFor {
			delete(p.leaving, id)
		}
	}
}
