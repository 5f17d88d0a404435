package picker

import (
	"math/bits"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/queueing"
)

// waiter is a request that waits for a place.
type waiter struct {
	requirements *Requirements
	entry        queueing.Entry
	granted      chan *Place
	predicted    bool // waits for a turn that is predicted in time
	waitsLate    bool // waits although it can no longer be in time
}

func (p *Picker) enqueue(w *Requirements, now time.Time) *waiter {
	q := &waiter{requirements: w, entry: entryOf(w, now), granted: make(chan *Place, 1)}
	p.waiting = append(p.waiting, q)
	p.waitingByModel[w.Model]++
	return q
}

// entryOf returns the request's entry in the order.
func entryOf(w *Requirements, now time.Time) queueing.Entry {
	inTime := w.InTimeWait
	if inTime <= 0 {
		inTime = w.MaxWait
	}
	return queueing.Entry{Class: w.class(), Workspace: w.Workspace, Weight: w.Weight, Appointed: w.Appointed, InTimeUntil: now.Add(inTime), Arrived: now}
}

func (p *Picker) dequeue(q *waiter) {
	if i := slices.Index(p.waiting, q); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.waitingByModel[q.requirements.Model]--
	}
}

// kind identifies requests that compete for the same places.
type kind struct{ service, model string }

func (w *Requirements) kind() kind { return kind{w.Service, w.Model} }

// class returns the request's class. Prompts of a class differ in length by less than a factor of two.
func (w *Requirements) class() queueing.Class {
	return queueing.Class{Rank: w.Priority, Size: bits.Len(uint(max(0, w.PromptTokens)))}
}

// order returns the order of the requests of a kind.
func (p *Picker) order(k kind) *queueing.Order {
	o, ok := p.orders[k]
	if !ok {
		o = &queueing.Order{}
		p.orders[k] = o
	}
	return o
}

// waitingOf returns the waiting requests of a kind.
func (p *Picker) waitingOf(k kind) []*waiter {
	var out []*waiter
	for _, q := range p.waiting {
		if q.requirements.kind() == k {
			out = append(out, q)
		}
	}
	return out
}

// grant gives free places to waiting requests of all kinds.
func (p *Picker) grant(now time.Time) {
	done := make(map[kind]bool)
	for _, q := range slices.Clone(p.waiting) {
		if k := q.requirements.kind(); !done[k] {
			done[k] = true
			p.grantKind(k, now)
		}
	}
}

// grantKind gives free places to waiting requests of a kind, in their order. A request that has failed at some groups, or whose
// objectives would be missed, may find no place where another request finds one, so it does not hold up the others.
func (p *Picker) grantKind(k kind, now time.Time) {
	order, waiters := p.order(k), p.waitingOf(k)
	entries := entriesOf(waiters)
	skippedInTime := false // a request that could be in time found no place at which it would be
	for len(waiters) > 0 {
		i := order.Next(entries, p.runningOf, now)
		q := waiters[i]
		how := withinObjective
		if q.entry.Late(now) && !skippedInTime {
			how = allSlots
		}
		place, _ := p.tryAcquire(q.requirements, now, how)
		if place == nil && len(q.requirements.Exclude) == 0 && !p.fitsAnother(q.requirements) {
			return
		}
		if place != nil {
			order.Take(entries, i, now)
			p.dequeue(q)
			q.granted <- place
		}
		skippedInTime = skippedInTime || place == nil && !q.entry.Late(now)
		waiters, entries = slices.Delete(waiters, i, i+1), slices.Delete(entries, i, i+1)
	}
}

// fitsAnother reports whether another request may find a place where this one has found none that meets its objectives.
func (p *Picker) fitsAnother(w *Requirements) bool { return p.options.Predict != nil && w.limited() }

func entriesOf(waiters []*waiter) []*queueing.Entry {
	out := make([]*queueing.Entry, len(waiters))
	for i, q := range waiters {
		out[i] = &q.entry
	}
	return out
}

// runningOf returns this node's running requests of a workspace.
func (p *Picker) runningOf(workspace string) int { return p.runningByWorkspace[workspace] }
