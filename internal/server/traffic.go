package server

import (
	"sync"
	"time"
)

const (
	// busyWindow is the time in which a node has to receive busyRequests requests to count as busy. Callers are sent to few
	// nodes; the others receive a request now and then, for which they do not need the loads of the fleet.
	busyWindow   = 2 * time.Second
	busyRequests = 3
	// busyReportTime is the time within which the report that a node is busy reaches the other busy nodes.
	busyReportTime = 3 * time.Second
)

// traffic tracks whether this node is busy, that is, whether callers use it.
type traffic struct {
	mu        sync.Mutex
	recent    [busyRequests]time.Time // times of the last requests, a ring buffer
	next      int
	busySince time.Time // start of the busy period, if the node is busy
}

// add records a request and reports whether it ends the node's idle period.
func (t *traffic) add(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasIdle := t.idleLocked(now)
	t.recent[t.next] = now
	t.next = (t.next + 1) % busyRequests
	if wasIdle {
		t.busySince = now
	}
	return wasIdle && !t.idleLocked(now)
}

// settled reports whether this node has been busy for busyReportTime.
func (t *traffic) settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.idleLocked(now) && now.Sub(t.busySince) >= busyReportTime
}

// idle reports whether the node has received fewer than busyRequests requests within busyWindow.
func (t *traffic) idle(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleLocked(now)
}

// idleLocked is idle with t.mu held. All requests in the ring are recent if the oldest is.
func (t *traffic) idleLocked(now time.Time) bool { return now.Sub(t.recent[t.next]) > busyWindow }
