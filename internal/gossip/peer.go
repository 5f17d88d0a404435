package gossip

import "time"

// Peer is another node as it was last heard.
type Peer struct {
	Identity
	Status
	Heard    time.Time // it was certainly alive then
	Upstream bool      // the relay that this node reports to
}

// Fresh reports whether the peer was alive within that time.
func (p *Peer) Fresh(now time.Time, within time.Duration) bool { return now.Sub(p.Heard) <= within }
