package admission

import (
	"container/list"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/queueing"
	"moorrun.dev/moorrun/internal/window"
)

// peakDemandSpan is how long a workspace's highest demand is kept. All places of an idle workspace are lent after it.
const peakDemandSpan = 1500 * time.Millisecond

// queue holds the waiting requests of one workspace for one model, and its places.
type queue struct {
	workspace    string
	waiting      list.List // of *waiter, by priority and then by arrival
	groups       map[groupKey]*groupPlaces
	appointments queueing.Appointments // from the rate at which places become free
	meanHold     time.Duration         // moving average of how long a request keeps its place
	lastArrival  time.Time
	demand       *window.Max[int] // peak number of requests waiting and running
}

// comeBackAfter returns the wait that a refusal of a request with the given remaining time suggests; fallback if nothing is known of
// when places become free.
func (q *queue) comeBackAfter(fallback, remaining time.Duration, now time.Time) time.Duration {
	after, known := q.appointments.Give(0, q.waiting.Len(), now.Add(remaining), now)
	if !known {
		return fallback
	}
	return after
}

// meanHoldRequests is the number of requests over which the holding time is averaged.
const meanHoldRequests = 16

// groupPlaces counts a workspace's places of one group: limit is how many it may use, running how many are in use.
type groupPlaces struct {
	key     groupKey
	limit   int
	running int
}

type groupKey struct {
	group string
	birth int64
}

// push inserts the request behind all requests of the same or a higher priority.
func (q *queue) push(w *waiter) {
	for e := q.waiting.Back(); e != nil; e = e.Prev() {
		if e.Value.(*waiter).priority >= w.priority { //nolint:forcetypeassert // the list holds only *waiter
			w.element = q.waiting.InsertAfter(w, e)
			return
		}
	}
	w.element = q.waiting.PushFront(w)
}

// preferredGroups counts the waiting requests by the group that they prefer.
func (q *queue) preferredGroups() []allocator.Places {
	var out []allocator.Places
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter) //nolint:forcetypeassert // the list holds only *waiter
		if w.prefer == (allocator.Ref{}) || len(out) >= maxPreferredGroups {
			continue
		}
		i := slices.IndexFunc(out, func(p allocator.Places) bool { return p.Group == w.prefer.Group && p.Birth == w.prefer.Birth })
		if i < 0 {
			out = append(out, allocator.Places{Group: w.prefer.Group, Birth: w.prefer.Birth})
			i = len(out) - 1
		}
		out[i].Count++
	}
	return out
}

// maxPreferredGroups is the maximum number of preferred groups in one report.
const maxPreferredGroups = 32

func (k groupKey) ref() allocator.Ref { return allocator.Ref{Group: k.group, Birth: k.birth} }

// lessLoaded reports whether a smaller fraction of the places of s is in use than of other.
func (s *groupPlaces) lessLoaded(other *groupPlaces) bool {
	a, b := s.running*other.limit, other.running*s.limit
	if a != b {
		return a < b
	}
	return s.key.group < other.key.group
}

// waiter is one request that waits for a place.
type waiter struct {
	ready         chan *Place // buffered; receives the place, unless the request leaves the queue without one
	element       *list.Element
	avoid         string // group on which this request has failed
	prefer        allocator.Ref
	priority      int
	onlyPreferred bool // the request still waits for its preferred group only
	// maxWait is how long the request may wait and still be expected to end within its timeout.
	maxWait time.Duration
}

// running returns how many of the workspace's requests run now.
func (q *queue) running() int {
	n := 0
	for _, s := range q.groups {
		n += s.running
	}
	return n
}

// recordHold adds the time for which a request kept its place to the average.
func (q *queue) recordHold(d time.Duration) {
	if q.meanHold == 0 {
		q.meanHold = d
		return
	}
	q.meanHold += (d - q.meanHold) / meanHoldRequests
}

// places returns how many places the workspace may use now, or still uses beyond its limits.
func (q *queue) places() int {
	n := 0
	for _, s := range q.groups {
		n += max(s.limit, s.running)
	}
	return n
}
