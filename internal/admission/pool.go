package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
)

const (
	// maxQueued bounds a workspace's queue at one node, whatever its expected wait.
	maxQueued = 4096
	// idleAfter is how long a workspace without requests keeps asking for spare places.
	idleAfter = 5 * time.Second
	// spareTime is for how much of the arrival rate spare places are asked.
	spareTime = 50 * time.Millisecond
)

// pool is one model's places and queues at this node.
type pool struct {
	model      string
	choose     Chooser
	lengthOnly bool

	mu       sync.Mutex
	queues   map[string]*queue
	grant    uint64
	expires  time.Time // of the grants in force
	reported chan struct{}
	arrivals map[string]*rate
}

func newPool(model string, choose Chooser) *pool {
	return &pool{
		model: model, choose: choose, queues: make(map[string]*queue),
		reported: make(chan struct{}, 1), arrivals: make(map[string]*rate),
	}
}

func (p *pool) queue(workspace string) *queue {
	q, ok := p.queues[workspace]
	if !ok {
		q = &queue{workspace: workspace, slots: make(map[slotKey]*slot)}
		q.waiting.Init()
		p.queues[workspace] = q
		p.arrivals[workspace] = &rate{}
	}
	return q
}

// enter gives a place at once, or puts the request into its queue.
func (p *pool) enter(r Request, now time.Time) (*Place, *waiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queue(r.Workspace)
	q.recent = now
	p.arrivals[r.Workspace].add(now)
	q.demand.add(q.waiting.Len()+q.running()+1, now)
	w := &waiter{ready: make(chan *Place, 1), avoid: r.Avoid, prefer: r.Prefer, priority: r.Priority, patience: r.Patience - q.hold}
	if p.lengthOnly {
		w.patience = r.Patience
	}
	w.choosy = r.Prefer != (allocator.Ref{}) && r.Prefer.Group != r.Avoid
	if place := p.takePreferred(q, w, now); place != nil {
		return place, nil, nil
	}
	if q.waiting.Len() == 0 && !w.choosy {
		if place := p.take(q, w.avoid, now); place != nil {
			return place, nil, nil
		}
	}
	if refusal := p.refuse(q, r.Patience, now); refusal != nil {
		return nil, nil, refusal
	}
	q.push(w)
	return nil, w, nil
}

// takePreferred starts a request on the group it prefers, if the workspace has a free place there.
func (p *pool) takePreferred(q *queue, w *waiter, now time.Time) *Place {
	if w.prefer == (allocator.Ref{}) || !now.Before(p.expires) {
		return nil
	}
	s, ok := q.slots[slotKey{w.prefer.Group, w.prefer.Birth}]
	if !ok || s.running >= s.limit || !p.choose.Usable(s.key.group, s.key.birth, now) ||
		slices.Contains(p.choose.Ejected(p.model, now), w.prefer) {
		return nil
	}
	return p.start(q, s, now)
}

// settle lets a request that has waited for the group it prefers take any.
func (p *pool) settle(workspace string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.choosy = false
	if w.element != nil {
		p.dispatch(p.queues[workspace], clock.Now())
	}
}

// refuse turns a request away when its expected wait is longer than its patience.
func (p *pool) refuse(q *queue, patience time.Duration, now time.Time) *Refusal {
	expected := q.expectedWait(now)
	if q.waiting.Len() >= maxQueued {
		return &Refusal{"the queue is full", expected}
	}
	if p.lengthOnly {
		return nil
	}
	if expected+q.hold > patience {
		return &Refusal{"the expected wait is longer than the request's deadline", max(0, expected+q.hold-patience) + retryAfter}
	}
	return nil
}

// expectedWait is how long a request that joins now will wait, from how fast places came free lately.
func (q *queue) expectedWait(now time.Time) time.Duration {
	if q.waiting.Len() == 0 {
		return 0
	}
	perSecond := q.rate.value(now)
	if perSecond <= 0 {
		return 0 // nothing is known: wait up to the deadline
	}
	seconds := float64(q.waiting.Len()) / perSecond
	return time.Duration(math.Min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

const maxExpectedWait = time.Hour

// take starts a request on the best group the workspace has a free place of.
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

func (p *pool) start(q *queue, s *slot, now time.Time) *Place {
	s.running++
	return &Place{Group: s.key.group, Birth: s.key.birth, pool: p, queue: q, slot: s, taken: now}
}

func (p *pool) best(q *queue, avoid string, now time.Time) *slot {
	ejected := p.choose.Ejected(p.model, now)
	var best *slot
	for _, s := range q.slots {
		if s.running >= s.limit || s.key.group == avoid || slices.Contains(ejected, s.key.ref()) {
			continue
		}
		if p.choose.Usable(s.key.group, s.key.birth, now) && (best == nil || s.emptier(best)) {
			best = s
		}
	}
	return best
}

// leave takes a request that has given up out of its queue; a place it was just given goes on to the next.
func (p *pool) leave(workspace string, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.element != nil {
		p.queues[workspace].waiting.Remove(w.element)
		w.element = nil
		return
	}
	place := <-w.ready
	place.slot.running--
	p.dispatch(place.queue, clock.Now())
}

func (p *pool) release(place *Place, ok bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	place.slot.running--
	if ok {
		place.queue.rate.add(now)
		place.queue.held(now.Sub(place.taken))
	}
	if place.slot.running == 0 && place.slot.limit == 0 {
		delete(place.queue.slots, place.slot.key)
	}
	p.dispatch(place.queue, now)
}

// dispatch gives free places to the requests that have waited longest, except that one of the first few that
// prefers the place's group goes before them.
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

// lookAhead is how many waiting requests are looked at for one that prefers a free place's group; so many at
// the most go before the one that has waited longest.
const lookAhead = 8

func (p *pool) match(q *queue, now time.Time) (*waiter, *Place) {
	e := q.waiting.Front()
	for range lookAhead {
		if e == nil {
			break
		}
		w := e.Value.(*waiter) //nolint:forcetypeassert // the list holds nothing else
		if place := p.takePreferred(q, w, now); place != nil {
			return w, place
		}
		e = e.Next()
	}
	w := q.waiting.Front().Value.(*waiter) //nolint:forcetypeassert // the list holds nothing else
	if w.choosy {
		return w, nil
	}
	return w, p.take(q, w.avoid, now)
}

// report returns the demand of this node and whether a request waits that only a new grant can help.
func (p *pool) report(now time.Time) (r allocator.Report, waiting, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Grant = p.grant
	r.Avoid = p.choose.Ejected(p.model, now)
	r.Speeds = p.choose.TakeSpeeds(p.model, now)
	for name, q := range p.queues {
		d := allocator.Demand{Workspace: name, Waiting: q.waiting.Len(), Preferred: q.wishes()}
		for key, s := range q.slots {
			if s.running > 0 {
				d.Running = append(d.Running, allocator.Places{Group: key.group, Birth: key.birth, Count: s.running})
			}
		}
		d.Reserve = max(0, q.demand.value(now)-d.Waiting-q.running())
		idle := now.Sub(q.recent) > idleAfter
		if !idle {
			d.Spare = 1 + int(p.arrivals[name].value(now)*spareTime.Seconds())
		}
		waiting = waiting || d.Waiting > 0
		busy = busy || !idle || len(d.Running) > 0 || d.Waiting > 0
		if idle && len(q.slots) == 0 && d.Waiting == 0 {
			delete(p.queues, name)
			delete(p.arrivals, name)
			continue
		}
		r.Workspaces = append(r.Workspaces, d)
	}
	return r, waiting, busy
}

// apply puts a grant in force until expires.
func (p *pool) apply(g allocator.Grant, expires, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant = g.Number
	p.expires = expires
	for _, q := range p.queues {
		for _, s := range q.slots {
			s.limit = 0
		}
	}
	for _, w := range g.Workspaces {
		q := p.queue(w.Workspace)
		for _, places := range w.Limits {
			key := slotKey{places.Group, places.Birth}
			s, ok := q.slots[key]
			if !ok {
				s = &slot{key: key}
				q.slots[key] = s
			}
			s.limit = places.Count
		}
	}
	for _, q := range p.queues {
		for key, s := range q.slots {
			if s.limit == 0 && s.running == 0 {
				delete(q.slots, key)
			}
		}
		p.dispatch(q, now)
	}
}

// forget ends the grants, when the allocator that gave them is no longer the one to ask.
func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grant = 0
}

// kick asks for a report now.
func (p *pool) kick() {
	select {
	case p.reported <- struct{}{}:
	default:
	}
}
