package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/queueing"
)

// fill is how far a request may fill a replica group.
type fill int

const (
	withinObjective fill = iota // as long as the objectives are predicted to be met
	allSlots                    // up to the slots
	groupQueue                  // into the queue of a full group
)

// Predict predicts, for a request that a group with the given known running requests would take, its first event and the gaps
// between the events of all requests there. It returns false if nothing is known.
type Predict func(w *Requirements, endpoint string, running int) (firstEvent, gap time.Duration, known bool)

// beyondObjective reports whether the request's objectives are predicted to be missed at the group.
func (p *Picker) beyondObjective(w *Requirements, c *candidate, now time.Time) bool {
	if p.options.Predict == nil || !w.limited() {
		return false
	}
	firstEvent, gap, known := p.options.Predict(w, c.endpoint.ID, c.load)
	if !known {
		return false
	}
	left := w.Objective - now.Sub(w.Received)
	return left <= 0 || !queueing.Objectives{FirstEvent: left, Gap: w.GapObjective}.Met(firstEvent, gap)
}

// limited reports whether the request's objectives limit how far it fills a group. Repeated attempts and streams that have begun,
// for which InTimeWait is not known, use all slots.
func (w *Requirements) limited() bool {
	return w.InTimeWait > 0 && w.Objective > 0 && !w.Received.IsZero()
}
