package server

import (
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// leadAfter is how long a new process listens before it may want to lead.
	leadAfter = 500 * time.Millisecond
	// leaderlessFor is how long nobody may have led until every relay wants to, and after as long again every node: in a
	// large fleet the relays are the largest nodes, hear the others sooner, and are few enough not to crowd the store.
	leaderlessFor = 2500 * time.Millisecond
)

// election says whether a node should try to get the leader's lease. The lease alone decides who leads; the
// election only keeps all nodes but one from asking for it.
type election struct {
	started  time.Time
	capacity uint32 // of this node's VM
	// yields returns how much later than it has this node counts as having started: in a large fleet that starts, nodes want to
	// lead one after the other.
	yields func() time.Duration

	mu  sync.Mutex
	led time.Time // a leader was last heard
}

func newElection(started time.Time, capacity uint32) *election {
	return &election{started: started, capacity: capacity, led: started, yields: func() time.Duration { return 0 }}
}

// uptime is how long this node has run, as far as it counts here.
func (e *election) uptime(now time.Time) time.Duration {
	return max(0, now.Sub(e.started)-e.yields())
}

// wants reports whether this node should hold the lease: nobody else leads, and of those who could it is the largest and
// has run for longest. After a while without a leader everyone wants it. able says whether this node could lead, relay whether it
// is one of those that should: of a fleet that starts each node takes itself for a relay, and those that are not among the
// largest ones registered leave it to these.
func (e *election) wants(now time.Time, able, relay, leads bool, live []*gossip.Peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := slices.ContainsFunc(live, func(p *gossip.Peer) bool { return p.LeaderEpoch > 0 })
	if leads || others {
		e.led = now
	}
	switch {
	case !able || e.uptime(now) < leadAfter:
		return false
	case leads:
		return true
	case others:
		return false
	case !relay:
		return now.Sub(e.led) > 2*leaderlessFor
	case now.Sub(e.led) > leaderlessFor:
		return true
	}
	return !slices.ContainsFunc(live, func(p *gossip.Peer) bool { return e.goesFirst(p, now) })
}

// goesFirst reports whether another node is the better leader. A larger one is: with 222 endpoints that lose two members
// every three seconds, orders of a leader with a fifth of a core took up to 0.45 s on average where 0.02 are usual, its
// plans ran out and were begun anew, and two thirds of the requests were late or refused. Of equal ones it is the one that
// has run for longer, which remembers endpoints that are not listed any more. What a beat tells is a little old, so of two
// nodes that started together both may take themselves for the first, but never neither.
func (e *election) goesFirst(p *gossip.Peer, now time.Time) bool {
	if !p.Eligible || p.Leaving {
		return false
	}
	if p.Capacity != e.capacity {
		return p.Capacity > e.capacity
	}
	return p.Uptime > e.uptime(now)
}
