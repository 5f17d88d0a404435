package server

import (
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// minUptimeToLead is how long a new process listens for other nodes before it may stand for leader.
	minUptimeToLead = 500 * time.Millisecond
	// leaderlessTimeout is the time without a leader after which every relay tries to lead; after twice that time every node
	// does. In a large fleet the relays are the largest nodes, hear from the others sooner, and are few enough not to overload
	// the store.
	leaderlessTimeout = 2500 * time.Millisecond
)

// epochsPerEra is the number of epochs of the leader's lease that are reserved for one era of the store. Each takes a new leader.
const epochsPerEra = 1 << 16

// epochsBeforeEra returns the last epoch of the earlier eras of the store, whose leaders the store may have forgotten.
func (n *Server) epochsBeforeEra() int64 { return n.platform.Era() * epochsPerEra }

// election decides whether a node should try to acquire the leader's lease. The lease alone determines who leads; the
// election only keeps the other nodes from requesting it.
type election struct {
	started  time.Time
	capacity uint32 // of this node's VM, in thousandths of a core
	// delay returns the time that is deducted from this node's uptime, so that the nodes of a starting large fleet try to
	// lead one after the other.
	delay func() time.Duration

	mu            sync.Mutex
	leaderHeardAt time.Time // when a leader was last live
}

func newElection(started time.Time, capacity uint32) *election {
	return &election{started: started, capacity: capacity, leaderHeardAt: started, delay: func() time.Duration { return 0 }}
}

// uptime returns how long this node has run, less its delay in the election.
func (e *election) uptime(now time.Time) time.Duration {
	return max(0, now.Sub(e.started)-e.delay())
}

// shouldHoldLease reports whether this node should hold the lease: no other node leads, and of the nodes that could lead it
// is the largest and has run for longest. After leaderlessTimeout without a leader every relay should hold it, and after
// twice that time every node. able is set if this node can lead, and relay if it is one of those that should. In a starting
// fleet each node considers itself a relay, and nodes that are not among the largest registered ones leave the lease to
// those.
func (e *election) shouldHoldLease(now time.Time, able, relay, leads bool, live []*gossip.Peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	otherLeads := slices.ContainsFunc(live, func(p *gossip.Peer) bool { return p.LeaderEpoch > 0 })
	if leads || otherLeads {
		e.leaderHeardAt = now
	}
	switch {
	case !able || e.uptime(now) < minUptimeToLead:
		return false
	case leads:
		return true
	case otherLeads:
		return false
	case !relay:
		return now.Sub(e.leaderHeardAt) > 2*leaderlessTimeout
	case now.Sub(e.leaderHeardAt) > leaderlessTimeout:
		return true
	}
	return !slices.ContainsFunc(live, func(p *gossip.Peer) bool { return e.prefers(p, now) })
}

// prefers reports whether another node is the better leader. A larger node is: with 222 endpoints that lose two members every
// three seconds, the orders of a leader with a fifth of a core took up to 0.45 s on average instead of the usual 0.02 s, its
// plans expired and were started over, and two thirds of the requests were late or refused. Of equally large nodes the one
// with the longer uptime is better, since it has kept the records of endpoints that are no longer listed. The uptime in a
// heartbeat is slightly old, so two nodes that started together may both consider themselves the better one, but never
// neither.
func (e *election) prefers(p *gossip.Peer, now time.Time) bool {
	if !p.Eligible || p.Leaving {
		return false
	}
	if p.Capacity != e.capacity {
		return p.Capacity > e.capacity
	}
	return p.Uptime > e.uptime(now)
}
