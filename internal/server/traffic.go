package server

import (
	"sync"
	"time"
)

const (
	// busyWindow is the time in which a node has to take busyFrom requests to count as one that callers use. Callers are
	// sent to few nodes; the others meet a request now and then, which does not make them need the fleet's loads.
	busyWindow = 2 * time.Second
	busyFrom   = 3
	// knownWithin is within what nodes that have got requests know of each other that they have.
	knownWithin = 3 * time.Second
)

// traffic tells whether callers use this node.
type traffic struct {
	mu     sync.Mutex
	recent [busyFrom]time.Time // of the last requests, in a ring
	next   int
	since  time.Time // callers have used it since then, if they do
}

// add notes a request and reports whether the node was idle until then and is not any more.
func (t *traffic) add(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.idleNow(now)
	t.recent[t.next] = now
	t.next = (t.next + 1) % busyFrom
	if was {
		t.since = now
	}
	return was && !t.idleNow(now)
}

// settled reports whether callers have used this node for so long that the others know.
func (t *traffic) settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.idleNow(now) && now.Sub(t.since) >= knownWithin
}

// idle reports whether it has had fewer requests lately than a node that callers use.
func (t *traffic) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleNow(now)
}

// idleNow is idle with the lock held: the oldest of the ring says whether all of it is recent.
func (t *traffic) idleNow(now time.Time) bool { return now.Sub(t.recent[t.next]) > busyWindow }
