package gossip

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// report sends this node's status to its relays: to the first in each round, to the second less often.
func (n *Node) report(now time.Time, urgent bool) {
	n.ownRoster = nil
	n.refreshSubscriptions(now)
	b := toWire(n.self, n.lastStatus, now)
	b.Known = n.sampleKnownNodes(now)
	common := n.marshalCommon(b)
	subscribedContacts := make(map[*contact]bool, len(n.subscribedRelays))
	for i, address := range n.subscribedRelays {
		c := n.contacts[address]
		subscribedContacts[c] = true
		c.idleRate = n.lastStatus.Idle
		if c.alive(now) && !urgent && now.Sub(c.lastSent) < reportInterval(i, n.lastStatus.Idle) {
			continue
		}
		n.writeBeat(c, now, ReportBeat, common, &gossippb.Beat{Subscribes: true, Reports: i == 0})
	}
	if n.upstream(now) != nil {
		return
	}
	for _, c := range n.strays(now, urgent, subscribedContacts) { // no relay answers; the reply of any other node may list live ones
		n.writeBeat(c, now, StrayBeat, common, &gossippb.Beat{})
	}
}

// reportInterval returns the minimum interval between two beats from a node to the relay at the given position of its list
// of relays, counted from 0.
func reportInterval(position int, idle bool) time.Duration {
	switch {
	case position == 0 && !idle:
		return 0
	case position == 0:
		return idleInterval
	case !idle:
		return standbyInterval
	}
	return idleStandbyInterval
}

// relaysPerNode is the number of relays that a node subscribes to if it is not one itself.
const relaysPerNode = 2

// refreshSubscriptions drops the subscribed relays that no longer answer or are no longer relays, and subscribes to others
// instead.
func (n *Node) refreshSubscriptions(now time.Time) {
	n.subscribedRelays = slices.DeleteFunc(n.subscribedRelays, func(address string) bool {
		c := n.contacts[address]
		isRelay := slices.ContainsFunc(n.relays, func(p *Peer) bool { return p.GossipAddress == address })
		return c == nil || !isRelay || c.isUnresponsive(now)
	})
	// Relays that answer come first.
	slices.SortStableFunc(n.subscribedRelays, func(a, b string) int { return n.livenessRank(a, now) - n.livenessRank(b, now) })
	for _, p := range preferredRelays(n.self, n.relays) {
		if len(n.subscribedRelays) >= relaysPerNode {
			return
		}
		c := n.add(p.GossipAddress, now)
		if c == nil || c.isUnresponsive(now) || slices.Contains(n.subscribedRelays, p.GossipAddress) {
			continue
		}
		n.subscribedRelays = append(n.subscribedRelays, p.GossipAddress)
	}
}

// livenessRank returns 0 for the address of a live contact, else 1.
func (n *Node) livenessRank(address string, now time.Time) int {
	if n.contacts[address].alive(now) {
		return 0
	}
	return 1
}
