package admission

import (
	"container/list"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
)

// queue is one workspace's requests for one model.
type queue struct {
	workspace string
	waiting   list.List // of *waiter, first come first
	slots     map[slotKey]*slot
	rate      rate          // of places coming free
	hold      time.Duration // how long a request keeps its place, an average
	recent    time.Time
	demand    peak // of requests that wait and run
}

// holdWeight is how many requests the average of their holding times reaches back.
const holdWeight = 16

// slot is the workspace's places of one group.
type slot struct {
	key     slotKey
	limit   int
	running int
}

type slotKey struct {
	group string
	birth int64
}

// push puts the request behind all others of its priority or a higher one.
func (q *queue) push(w *waiter) {
	for e := q.waiting.Back(); e != nil; e = e.Prev() {
		if e.Value.(*waiter).priority >= w.priority { //nolint:forcetypeassert // the list holds nothing else
			w.element = q.waiting.InsertAfter(w, e)
			return
		}
	}
	w.element = q.waiting.PushFront(w)
}

// wishes counts the requests that wait for the group they prefer.
func (q *queue) wishes() []allocator.Places {
	var out []allocator.Places
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter) //nolint:forcetypeassert // the list holds nothing else
		if w.prefer == (allocator.Ref{}) || len(out) >= maxWishes {
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

// maxWishes bounds the groups named in one report.
const maxWishes = 32

func (k slotKey) ref() allocator.Ref { return allocator.Ref{Group: k.group, Birth: k.birth} }

// emptier reports whether s has a smaller part of its places in use than other.
func (s *slot) emptier(other *slot) bool {
	a, b := s.running*other.limit, other.running*s.limit
	if a != b {
		return a < b
	}
	return s.key.group < other.key.group
}

// waiter is one request that waits for a place.
type waiter struct {
	ready    chan *Place // buffered; gets the place or is dropped from the list
	element  *list.Element
	avoid    string // group that failed this request before
	prefer   allocator.Ref
	priority int
	choosy   bool // it still waits for the group it prefers
	// patience is how long it may wait and still be served within its deadline.
	patience time.Duration
}

// running is how many requests of the workspace run now.
func (q *queue) running() int {
	n := 0
	for _, s := range q.slots {
		n += s.running
	}
	return n
}

// held takes in how long a request kept its place.
func (q *queue) held(d time.Duration) {
	if q.hold == 0 {
		q.hold = d
		return
	}
	q.hold += (d - q.hold) / holdWeight
}

// places is how many places the workspace may use now.
func (q *queue) places() int {
	n := 0
	for _, s := range q.slots {
		n += max(s.limit, s.running)
	}
	return n
}
