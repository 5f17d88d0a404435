package server

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// relaysFor is how long a node has to be a relay before it keeps all endpoints: each node of a fleet that starts takes itself
// for one until it has met some others.
const relaysFor = 2 * time.Second

// relayed tells how long a node has been a relay.
type relayed struct {
	mu    sync.Mutex
	since time.Time // zero while it is none
}

// longEnough notes whether the node is a relay now, and reports whether it has been for relaysFor.
func (r *relayed) longEnough(relaying bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !relaying:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	return relaying && now.Sub(r.since) >= relaysFor
}

// relays reports whether this node is one of those that watch the store for the others while nobody leads.
func (n *Server) relays() bool {
	now := clock.Now()
	return n.gossip.Relaying() && n.crowd.Load().relays(len(n.gossip.Live(now)), now.Sub(n.started))
}

// keepsAll reports whether this node keeps all endpoints though it does not watch the store: as a relay it may have to lead
// next, and knows then which have gone lately.
func (n *Server) keepsAll() bool { return n.relayed.longEnough(n.gossip.Relaying(), clock.Now()) }
