package gossip

import "time"

// relayedLag is how many intervals between beats pass on average until one node's loads have come to another through
// relays: until it reports, until its relay tells the others, and until their reporters are answered, half an interval
// each, and as much again for a datagram that is lost or late.
const relayedLag = 2.5

// Lag returns how old what this node knows of the others' loads usually is.
func (n *Node) Lag() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) < SmallFleet {
		return Every
	}
	return time.Duration(relayedLag * float64(Every))
}
