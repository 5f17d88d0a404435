package server

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// minRelayTime is how long a node has to be a relay before it keeps all endpoints. Each node of a starting fleet considers
// itself a relay until it has discovered some others.
const minRelayTime = 2 * time.Second

// relayTenure tracks how long a node has been a relay.
type relayTenure struct {
	mu    sync.Mutex
	since time.Time // zero while the node is no relay
}

// update records whether the node is a relay now, and reports whether it has been one for minRelayTime.
func (r *relayTenure) update(relaying bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !relaying:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	return relaying && now.Sub(r.since) >= minRelayTime
}

// actsAsRelay reports whether this node is one of those that watch the store for the others while there is no leader.
func (n *Server) actsAsRelay() bool {
	now := clock.Now()
	return n.gossip.Relaying() && n.fleetProfile.Load().confirmsRelay(len(n.gossip.Live(now)), now.Sub(n.started))
}

// keepsAll reports whether this node keeps all endpoints although it does not watch the store. A relay may become
// the next leader, and then needs the records of endpoints that have disappeared recently.
func (n *Server) keepsAll() bool { return n.relayTenure.update(n.gossip.Relaying(), clock.Now()) }
