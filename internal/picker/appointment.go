package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/queueing"
)

// appointmentsOf returns the appointments of the requests of a kind.
func (p *Picker) appointmentsOf(k kind) *queueing.Appointments {
	a, ok := p.appointments[k]
	if !ok {
		a = &queueing.Appointments{}
		p.appointments[k] = a
	}
	return a
}

// Appoint returns the time after which the caller of a request that got no place should come back. id identifies the request when it
// is received again, and deadline is when the caller gives up. It returns false if nothing is known of when places become free.
func (p *Picker) Appoint(w *Requirements, id uint64, deadline, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := w.kind()
	return p.appointmentsOf(k).Give(id, len(p.waitingOf(k)), deadline, now)
}

// KeepAppointment reports whether the request has been refused before and its caller has come back at the time it was given.
func (p *Picker) KeepAppointment(w *Requirements, id uint64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appointmentsOf(w.kind()).Keep(id, now)
}

// TakeMissedAppointments returns how many appointments have become void since the last call because their callers did not keep them.
func (p *Picker) TakeMissedAppointments() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.missedAppointments
	p.missedAppointments = 0
	return n
}

// Queue returns the number of requests that wait for a place of a model, and the rate at which its places become free at this node.
func (p *Picker) Queue(service, model string, now time.Time) (waiting int, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := kind{service, model}
	return len(p.waitingOf(k)), p.appointmentsOf(k).PerSecond(now)
}
