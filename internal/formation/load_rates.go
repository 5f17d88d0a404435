package formation

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/route"
)

// loadRates records the events that make loads urgent, so that the number of urgent loads to expect within one load time
// is known: losses of endpoints, and empty endpoints added to the list.
type loadRates struct {
	since      time.Time            // first observation; zero before
	emptySince map[string]time.Time // when an endpoint was first listed without any model, by endpoint ID
	down       map[string]bool      // endpoints whose loss has been counted
	added      []time.Time          // empty endpoints added within the last load time
	lost       []time.Time          // endpoints lost within the last load time
	ordered    []time.Time          // urgent loads ordered within the last load time
}

func newLoadRates() loadRates {
	return loadRates{emptySince: make(map[string]time.Time), down: make(map[string]bool)}
}

// observe records the endpoints of the service that are new and empty, and those that no longer answer. Endpoints that
// are already empty at the first observation are no events: nothing is known about when they were added. An endpoint that
// is only missing from the list and returns is not counted again.
func (r *loadRates) observe(v *View, window time.Duration) {
	first := r.since.IsZero()
	if first {
		r.since = v.Now
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if len(e.Models)+len(e.Staged) > 0 {
			continue
		}
		if _, known := r.emptySince[e.ID]; known {
			continue
		}
		r.emptySince[e.ID] = v.Now
		if !first {
			r.added = append(r.added, v.Now)
		}
	}
	for id := range v.Contacts {
		r.observeLoss(v, id, first)
	}
	for id := range v.Snapshot.Gone {
		r.observeLoss(v, id, first)
	}
	r.forget(v)
	r.added = dropBefore(r.added, v.Now.Add(-window))
	r.lost = dropBefore(r.lost, v.Now.Add(-window))
	r.ordered = dropBefore(r.ordered, v.Now.Add(-window))
}

func (r *loadRates) observeLoss(v *View, id string, first bool) {
	if r.down[id] || !v.isDown(id) {
		return
	}
	r.down[id] = true
	if !first {
		r.lost = append(r.lost, v.Now)
	}
}

// forget drops the endpoints that have got a model, have returned, or are no longer known to the list.
func (r *loadRates) forget(v *View) {
	for id := range r.emptySince {
		e := v.Snapshot.Endpoints[id]
		_, gone := v.Snapshot.Gone[id]
		if e == nil && !gone || e != nil && len(e.Models)+len(e.Staged) > 0 {
			delete(r.emptySince, id)
		}
	}
	for id := range r.down {
		if !v.isDown(id) {
			delete(r.down, id)
		}
	}
}

// dropBefore removes the times before the given one from a list in ascending order.
func dropBefore(list []time.Time, t time.Time) []time.Time {
	for len(list) > 0 && list[0].Before(t) {
		list = list[1:]
	}
	return list
}

// expected returns the number of urgent loads to expect within the window, which is one load time. A lost endpoint needs
// one load for its replacement and an added empty endpoint needs one for its first model, and a load of the latter kind
// often is the former: their sum would count these loads twice. Where an event has needed more than one load, the number
// of urgent loads ordered is higher and counts instead.
func (r *loadRates) expected(now time.Time, window time.Duration) int {
	return r.scale(max(len(r.added), len(r.lost), len(r.ordered)), now, window)
}

// expectedLosses returns the number of endpoints that are expected to be lost within the window.
func (r *loadRates) expectedLosses(now time.Time, window time.Duration) int {
	return r.scale(len(r.lost), now, window)
}

// scale extrapolates a number of events to the whole window if less than the window has been observed.
func (r *loadRates) scale(events int, now time.Time, window time.Duration) int {
	observed := now.Sub(r.since)
	if observed >= window || observed <= 0 {
		return events
	}
	return int(math.Ceil(float64(events) * float64(window) / float64(observed)))
}

// complete reports whether a whole window has been observed.
func (r *loadRates) complete(now time.Time, window time.Duration) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= window
}

// expectedReserve returns how many concurrent loads speculative loads leave to urgent ones: as many as are expected within
// one load time, and at least the members of one group of the smallest model, which one conversion or one loss may need.
// Until a load time has been observed, it is at least half of the limit, because the rates are not yet known: the
// speculative loads of the first two seconds of a tenure would otherwise block urgent ones for a whole load time.
func (p *Planner) expectedReserve(v *View) int {
	window := longestLoad(v.Service.Engine)
	n := max(p.loadRates.expected(v.Now, window), smallestGroup(v.Service.Engine))
	if !p.loadRates.complete(v.Now, window) {
		n = max(n, v.Service.Engine.LoadsAtOnce/2)
	}
	return n
}

// smallestGroup returns the least number of members of a group of any model.
func smallestGroup(e *route.Engine) int {
	smallest := 0
	for _, m := range e.Models {
		if smallest == 0 || m.Size < smallest {
			smallest = m.Size
		}
	}
	return smallest
}
