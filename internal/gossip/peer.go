package gossip

import "time"

// Peer is another node as of the last beat heard from it.
type Peer struct {
	Identity
	Status
	Heard    time.Time // the latest time at which it is known to have been alive
	Upstream bool      // it is the relay that this node reports to
}

// Fresh reports whether the peer is known to have been alive within the given duration before now.
func (p *Peer) Fresh(now time.Time, within time.Duration) bool { return now.Sub(p.Heard) <= within }
