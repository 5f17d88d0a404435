package follow

import (
	"sync"
	"time"
)

// defaultStoreRecovery is how long after the store's return a node has applied what it missed, unless the settings name another time.
const defaultStoreRecovery = 3 * time.Second

// recoveryMargin is the part of that time which is left for applying changes that are no longer held back.
const recoveryMargin = 200 * time.Millisecond

// recovery determines until when removals are held back after an outage of the store.
//
// The store came back no earlier than this node's last failed query was sent, and no later than the first answer that this or another
// node got. The entry of a live endpoint may be missing for grace after the latest possible return. A node that was only cut off from
// the store cannot tell that from an outage, and must have applied all removals within limit of the earliest possible return.
//
// A node that takes turns with many others may have queried the store long before its return. The leader queries it every
// maxQueryInterval, and all together more often, so that one of them is answered within that interval of the return, or once a query
// that hangs has timed out.
//
// How old this node's copy is does not show an outage: other nodes may have been answered meanwhile.
type recovery struct {
	grace, limit time.Duration
	// othersUnserved, if not nil, reports whether this node hears others, none of which the store has answered lately.
	othersUnserved func(now time.Time) bool
	// takesTurns, if not nil, reports whether this node leaves it to others that it hears to query an unavailable store often.
	takesTurns func() bool

	mu       sync.Mutex
	served   time.Time     // the store served a node at or after this time
	own      bool          // that node is this one
	failed   time.Time     // when this node's last failed query was sent
	failedIn time.Duration // the time after which the last repeated query failed; 0 if none was repeated
	until    time.Time
}

// queryFailed records a failed query of this node; repeated is set if it followed another one that failed. How long the first one took
// does not show how queries fail during the outage: it may have been waiting for changes when the outage began.
func (r *recovery) queryFailed(sent, now time.Time, repeated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !sent.After(r.failed) {
		return
	}
	if r.failed, r.failedIn = sent, 0; repeated {
		r.failedIn = now.Sub(sent)
	}
}

// queryAnswered records an answered query of this node, and returns until when removals are held back.
func (r *recovery) queryAnswered(sent, now time.Time) (until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A process that queries the store all the time and had no answer for so long, though no query failed, was stopped.
	stopped := r.own && (sent.Sub(r.served) > outageAge || now.Sub(sent) > outageAge)
	r.update(sent, now, stopped)
	r.own = true
	return r.until
}

// toldByNode records that the store has served another node at or after the given time.
func (r *recovery) toldByNode(at, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.served) {
		r.update(at, now, false)
		r.own = false
	}
}

// update records that the store has served a node, and begins to hold removals back if it had been unavailable.
func (r *recovery) update(servedAt, now time.Time, stopped bool) {
	if servedAt.Sub(r.served) > outageAge || stopped {
		if returned, ok := r.earliestReturn(servedAt, now, stopped); ok {
			r.hold(returned, now)
		}
	}
	if servedAt.After(r.served) {
		r.served = servedAt
	}
}

// earliestReturn returns the earliest time at which the store can have come back, and whether it is known to have been unavailable.
func (r *recovery) earliestReturn(servedAt, now time.Time, stopped bool) (time.Time, bool) {
	if !r.failed.After(r.served) {
		return servedAt, stopped || r.othersUnserved != nil && r.othersUnserved(now)
	}
	if r.takesTurns != nil && r.takesTurns() {
		return latest(r.failed, servedAt.Add(-r.fleetQueryGap())), true
	}
	return r.failed, true
}

// fleetQueryGap returns the longest time between queries of a fleet to an unavailable store, if they fail as those of this node do.
func (r *recovery) fleetQueryGap() time.Duration {
	return max(maxQueryInterval, r.failedIn+minRetryDelay)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *recovery) hold(returned, now time.Time) {
	until := now.Add(r.grace)
	if last := returned.Add(r.limit - recoveryMargin); last.Before(until) {
		until = last
	}
	if until.After(r.until) {
		r.until = until
	}
}
