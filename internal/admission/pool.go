package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/window"
)

const (
	// maxQueued is the maximum length of a workspace's queue at one node, whatever the expected wait.
	maxQueued = 4096
	// idleAfter is how long a workspace keeps requesting spare places after its last request.
	idleAfter = 5 * time.Second
	// spareWindow is the time for which spare places should cover the arrivals.
	spareWindow = 50 * time.Millisecond
)

// pool is one model's places and queues at this node.
type pool struct {
	model      string
	chooser    Chooser
	lengthOnly bool

	mu        sync.Mutex
	queues    map[string]*queue
	grant     uint64
	expires   time.Time // when the current grant expires
	reportNow chan struct{}
	reportErr error     // error of the last report, nil if it was answered
	answered  time.Time // when a report was last answered
	arrivals  map[string]*rate
}

func newPool(model string, chooser Chooser) *pool {
	return &pool{
		model: model, chooser: chooser, queues: make(map[string]*queue),
		reportNow: make(chan struct{}, 1), arrivals: make(map[string]*rate),
	}
}

func (p *pool) queue(workspace string, now time.Time) *queue {
	q, ok := p.queues[workspace]
	if !ok {
		q = &queue{workspace: workspace, groups: make(map[groupKey]*groupPlaces), demand: window.NewMax[int](peakDemandSpan, now)}
		q.waiting.Init()
		p.queues[workspace] = q
		p.arrivals[workspace] = &rate{}
	}
	return q
}

// enter returns a place if one is free, and otherwise adds the request to its queue or refuses it.
func (p *pool) enter(r Request, now time.Time) (*Place, *waiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(r.Workspace, now)
	q.lastArrival = now
	p.arrivals[r.Workspace].add(now)
	q.demand.Add(q.waiting.Len()+q.running()+1, now)
	w := &waiter{ready: make(chan *Place, 1), avoid: r.Avoid, prefer: r.Prefer, priority: r.Priority, maxWait: r.Timeout - q.meanHold}
	if p.lengthOnly {
		w.maxWait = r.Timeout
	}
	w.onlyPreferred = r.Prefer != (allocator.Ref{}) && r.Prefer.Group != r.Avoid
	if place := p.takePreferred(q, w, now); place != nil {
		return place, nil, nil
	}
	if q.waiting.Len() == 0 && !w.onlyPreferred {
		if place := p.take(q, w.avoid, now); place != nil {
			return place, nil, nil
		}
	}
	if refusal := p.refuse(q, r.Timeout, now); refusal != nil {
		return nil, nil, refusal
	}
	q.push(w)
	return nil, w, nil
}

// takePreferred starts the request on the group that it prefers, if the workspace has a free place there.
func (p *pool) takePreferred(q *queue, w *waiter, now time.Time) *Place {
	if w.prefer == (allocator.Ref{}) || !now.Before(p.expires) {
		return nil
	}
	s, ok := q.groups[groupKey{w.prefer.Group, w.prefer.Birth}]
	if !ok || s.running >= s.limit || !p.chooser.Usable(s.key.group, s.key.birth, now) ||
		slices.Contains(p.chooser.Ejected(p.model, now), w.prefer) {
		return nil
	}
	return p.start(q, s, now)
}

// allowAnyGroup lets a request that has waited long enough for its preferred group run on any group.
func (p *pool) allowAnyGroup(workspace string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.onlyPreferred = false
	if w.element != nil {
		p.dispatch(p.queues[workspace], clock.Now())
	}
}

// refuse returns a Refusal if the queue is full or the request cannot be expected to end within its timeout.
func (p *pool) refuse(q *queue, timeout time.Duration, now time.Time) *Refusal {
	expected := q.expectedWait(now)
	if q.waiting.Len() >= maxQueued {
		return &Refusal{"the queue is full", expected}
	}
	if p.lengthOnly {
		return nil
	}
	if expected+q.meanHold > timeout {
		return &Refusal{"the expected wait is longer than the request's deadline", max(0, expected+q.meanHold-timeout) + retryAfter}
	}
	return nil
}

// expectedWait estimates how long a request that joins the queue now will wait, from the recent rate at which
// places became free.
func (q *queue) expectedWait(now time.Time) time.Duration {
	if q.waiting.Len() == 0 {
		return 0
	}
	perSecond := q.rate.value(now)
	if perSecond <= 0 {
		return 0 // no recent releases to estimate from: the request waits up to its deadline
	}
	seconds := float64(q.waiting.Len()) / perSecond
	return time.Duration(math.Min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

const maxExpectedWait = time.Hour

// take starts a request on the least loaded group of which the workspace has a free place. The group to avoid is
// used only if there is no other.
func (p *pool) take(q *queue, avoid string, now time.Time) *Place {
	if !now.Before(p.expires) {
		return nil
	}
	s := p.best(q, avoid, now)
	if s == nil && avoid != "" {
		s = p.best(q, "", now)
	}
	if s == nil {
		return nil
	}
	return p.start(q, s, now)
}

func (p *pool) start(q *queue, s *groupPlaces, now time.Time) *Place {
	s.running++
	return &Place{Group: s.key.group, Birth: s.key.birth, pool: p, queue: q, groupPlaces: s, taken: now}
}

// best returns the least loaded usable group, other than avoid, of which the workspace has a free place.
func (p *pool) best(q *queue, avoid string, now time.Time) *groupPlaces {
	ejected := p.chooser.Ejected(p.model, now)
	var best *groupPlaces
	for _, s := range q.groups {
		if s.running >= s.limit || s.key.group == avoid || slices.Contains(ejected, s.key.ref()) {
			continue
		}
		if p.chooser.Usable(s.key.group, s.key.birth, now) && (best == nil || s.lessLoaded(best)) {
			best = s
		}
	}
	return best
}

// abandon removes a request that no longer waits from its queue. If it was given a place in the meantime, the
// place goes to the next request.
func (p *pool) abandon(workspace string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.element != nil {
		p.queues[workspace].waiting.Remove(w.element)
		w.element = nil
		return
	}
	place := <-w.ready
	place.groupPlaces.running--
	p.dispatch(place.queue, clock.Now())
}

func (p *pool) release(place *Place, ok bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	place.groupPlaces.running--
	if ok {
		place.queue.rate.add(now)
		place.queue.recordHold(now.Sub(place.taken))
	}
	if place.groupPlaces.running == 0 && place.groupPlaces.limit == 0 {
		delete(place.queue.groups, place.groupPlaces.key)
	}
	p.dispatch(place.queue, now)
}

// dispatch gives free places to the requests that come first in the queue. One of the first maxOvertaking
// requests that prefers the group of a free place goes before the others.
func (p *pool) dispatch(q *queue, now time.Time) {
	for q.waiting.Len() > 0 {
		w, place := p.match(q, now)
		if place == nil {
			return
		}
		q.waiting.Remove(w.element)
		w.element = nil
		w.ready <- place
	}
}

// dispatchAll gives the free places of the last grant to waiting requests, as long as it is valid. Groups become usable, and ejections
// end, between two grants.
func (p *pool) dispatchAll(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.queues {
		p.dispatch(q, now)
	}
}

// maxOvertaking is how many requests from the front of the queue are searched for one that prefers the group of a
// free place. It bounds how many requests can overtake the first one.
const maxOvertaking = 8

// match returns the request to start next and the place for it; the place is nil if there is none.
func (p *pool) match(q *queue, now time.Time) (*waiter, *Place) {
	e := q.waiting.Front()
	for range maxOvertaking {
		if e == nil {
			break
		}
		w := e.Value.(*waiter) //nolint:forcetypeassert // the list holds only *waiter
		if place := p.takePreferred(q, w, now); place != nil {
			return w, place
		}
		e = e.Next()
	}
	w := q.waiting.Front().Value.(*waiter) //nolint:forcetypeassert // the list holds only *waiter
	if w.onlyPreferred {
		return w, nil
	}
	return w, p.take(q, w.avoid, now)
}

// report returns the demand of this node. waiting reports whether requests wait, which start only with a new grant
// or when places become free; busy reports whether any workspace has requests or had some recently.
func (p *pool) report(now time.Time) (r allocator.Report, waiting, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Grant = p.grant
	r.Avoid = p.chooser.Ejected(p.model, now)
	r.Speeds = p.chooser.TakeSpeeds(p.model, now)
	for name, q := range p.queues {
		d := allocator.Demand{Workspace: name, Waiting: q.waiting.Len(), Preferred: q.preferredGroups()}
		for key, s := range q.groups {
			if s.running > 0 {
				d.Running = append(d.Running, allocator.Places{Group: key.group, Birth: key.birth, Count: s.running})
			}
		}
		d.Reserve = max(0, q.demand.Value(now)-d.Waiting-q.running())
		idle := now.Sub(q.lastArrival) > idleAfter
		if !idle {
			d.Spare = 1 + int(p.arrivals[name].value(now)*spareWindow.Seconds())
		}
		waiting = waiting || d.Waiting > 0
		busy = busy || !idle || len(d.Running) > 0 || d.Waiting > 0
		if idle && len(q.groups) == 0 && d.Waiting == 0 {
			delete(p.queues, name)
			delete(p.arrivals, name)
			continue
		}
		r.Workspaces = append(r.Workspaces, d)
	}
	return r, waiting, busy
}

// apply replaces the limits by those of the grant, which is valid until expires.
func (p *pool) apply(g allocator.Grant, expires, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant = g.Number
	p.expires = expires
	for _, q := range p.queues {
		for _, s := range q.groups {
			s.limit = 0
		}
	}
	for _, w := range g.Workspaces {
		q := p.queue(w.Workspace, now)
		for _, places := range w.Limits {
			key := groupKey{places.Group, places.Birth}
			s, ok := q.groups[key]
			if !ok {
				s = &groupPlaces{key: key}
				q.groups[key] = s
			}
			s.limit = places.Count
		}
	}
	for _, q := range p.queues {
		for key, s := range q.groups {
			if s.limit == 0 && s.running == 0 {
				delete(q.groups, key)
			}
		}
		p.dispatch(q, now)
	}
}

// resetGrant clears the number of the last grant after a change of the allocator, so that the next report doesn't
// confirm a grant of the previous allocator.
func (p *pool) resetGrant() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant = 0
}

// triggerReport makes the reporter send a report as soon as the minimum gap since the last one has passed.
func (p *pool) triggerReport() {
	select {
	case p.reportNow <- struct{}{}:
	default:
	}
}
