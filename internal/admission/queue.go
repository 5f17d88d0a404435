package admission

import (
	"container/list"
	"time"
)

// queue is one workspace's requests for one model.
type queue struct {
	workspace string
	waiting   list.List // of *waiter, first come first
	slots     map[slotKey]*slot
	rate      rate // of places coming free
	recent    time.Time
}

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

// waiter is one request that waits for a place.
type waiter struct {
	ready   chan *Place // buffered; gets the place or is dropped from the list
	element *list.Element
	avoid   string // group that failed this request before
}

// running is how many requests of the workspace run now.
func (q *queue) running() int {
	n := 0
	for _, s := range q.slots {
		n += s.running
	}
	return n
}

// held is how many places the workspace may use now.
func (q *queue) held() int {
	n := 0
	for _, s := range q.slots {
		n += max(s.limit, s.running)
	}
	return n
}
