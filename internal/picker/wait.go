package picker

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// longestWait returns how long a waiting request may wait from now on, 0 if it is to be refused. It waits only if its turn is
// predicted in time, and then until it can no longer be in time. Where nothing is known of its objective, or of when places become
// free, and where no group is left, it waits for up to MaxWait.
func (p *Picker) longestWait(q *waiter, now time.Time) time.Duration {
	w := q.requirements
	if w.InTimeWait <= 0 || !p.appointmentsOf(w.kind()).Known(now) || len(p.candidates(w, p.options.Others(now), now)) == 0 {
		return w.MaxWait
	}
	if p.expectedTurn(q, now) > w.InTimeWait {
		return p.lateWait(q, now)
	}
	q.predicted = true
	return p.nextCheck(q, now)
}

// nextCheck returns how long a request whose turn is predicted in time waits until it looks for a place in the queue of a full
// group: MaxWait each time, as where nothing is predicted, until it can no longer be in time. It is 0 from then on.
func (p *Picker) nextCheck(q *waiter, now time.Time) time.Duration {
	left := q.entry.InTimeUntil.Sub(now)
	if !q.predicted || left <= 0 {
		return 0
	}
	if q.requirements.MaxWait > 0 {
		return min(left, q.requirements.MaxWait)
	}
	return left
}

// queueInTime returns a place in the queue of a full group for a request that could be in time, if it is the first in the order. Such
// a place is often as near as the next free one at this node. Where groups are limited by objectives, a full group is beyond them.
func (p *Picker) queueInTime(q *waiter, now time.Time) *Place {
	k := q.requirements.kind()
	if p.fitsAnother(q.requirements) || p.order(k).Ahead(entriesOf(p.waitingOf(k)), &q.entry, p.runningOf, now) > 0 {
		return nil
	}
	place, _ := p.tryAcquire(q.requirements, now, groupQueue)
	if place != nil {
		p.dequeue(q)
	}
	return place
}

// lateWait returns how long a request that cannot be in time may wait, 0 if it is to be refused. Only requests of a class that starves
// wait for one of the places for late requests: others would take these places, which requests in time could use, for an answer of
// little value.
func (p *Picker) lateWait(q *waiter, now time.Time) time.Duration {
	w := q.requirements
	if q.waitsLate || w.LateWait <= 0 || !p.order(w.kind()).Starves(w.class()) {
		return 0
	}
	q.entry.InTimeUntil = now.Add(-1)
	if p.expectedTurn(q, now) > w.LateWait {
		return 0
	}
	q.waitsLate = true
	return w.LateWait
}

// expectedTurn returns after what time the request is expected to be first. If that is in time, it may get the next place in time:
// refusing requests that are first but whose place is expected just too late left 40 % more refused twice at ten places/s.
func (p *Picker) expectedTurn(q *waiter, now time.Time) time.Duration {
	k := q.requirements.kind()
	ahead := p.order(k).Ahead(entriesOf(p.waitingOf(k)), &q.entry, p.runningOf, now)
	wait, _ := p.appointmentsOf(k).ExpectedWait(ahead, now)
	return wait
}

// await waits for a place to be granted, and ends the wait when longestWait and lateWait allow no more.
func (p *Picker) await(ctx context.Context, q *waiter, wait time.Duration) (*Place, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case place := <-q.granted:
			return place, nil
		case <-timer.C:
		case <-ctx.Done():
		}
		place, wait, err := p.expire(ctx, q)
		if wait <= 0 {
			return place, err
		}
		timer.Reset(wait)
	}
}

// expire handles the end of a wait: it returns a place, how long to wait further, or an error.
func (p *Picker) expire(ctx context.Context, q *waiter) (*Place, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if ctx.Err() == nil {
		p.grantKind(q.requirements.kind(), now)
	}
	if len(q.granted) > 0 {
		return <-q.granted, 0, nil
	}
	if ctx.Err() != nil {
		p.dequeue(q)
		return nil, 0, ctx.Err()
	}
	if wait := p.nextCheck(q, now); wait > 0 {
		place := p.queueInTime(q, now)
		if place != nil {
			wait = 0
		}
		return place, wait, nil
	}
	if wait := p.lateWait(q, now); wait > 0 {
		return nil, wait, nil
	}
	place, err := p.refuseOrQueue(q, now)
	return place, 0, err
}

// refuseOrQueue ends the wait of a request: it returns a place at which its objectives may be missed, if necessary in
// the queue of a full group, or an error. Such a place is taken only if no request waits that could be in time, which would
// otherwise get the next place.
func (p *Picker) refuseOrQueue(q *waiter, now time.Time) (*Place, error) {
	p.dequeue(q)
	w := q.requirements
	if w.InTimeWait > 0 && p.othersInTime(q, now) {
		return nil, ErrNoPlace
	}
	if place, _ := p.tryAcquire(w, now, allSlots); place != nil {
		return place, nil
	}
	place, err := p.tryAcquire(w, now, groupQueue)
	if place == nil && err == nil {
		err = ErrNoPlace
	}
	return place, err
}

// othersInTime reports whether another request of the same kind waits that could be in time.
func (p *Picker) othersInTime(q *waiter, now time.Time) bool {
	for _, other := range p.waitingOf(q.requirements.kind()) {
		if other != q && !other.entry.Late(now) {
			return true
		}
	}
	return false
}

// takeUnpredicted returns a place at which the request's objectives may be missed, if it is not known whether a better one will
// become free. It returns nil if there is none, or if another request waits that could be in time.
func (p *Picker) takeUnpredicted(q *waiter, now time.Time) *Place {
	w := q.requirements
	if !p.fitsAnother(w) || p.appointmentsOf(w.kind()).Known(now) || p.othersInTime(q, now) {
		return nil
	}
	place, _ := p.tryAcquire(w, now, allSlots)
	if place != nil {
		p.dequeue(q)
	}
	return place
}
