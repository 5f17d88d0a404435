package gossip

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// report tells this node's status to its relays: to the first each time, to the second now and then.
func (n *Node) report(now time.Time, urgent bool) {
	n.own = nil
	n.subscribe(now)
	b := toWire(n.self, n.last, now)
	b.Known = n.known(now)
	common := n.marshal(b)
	own := make(map[*contact]bool, len(n.subscribed))
	for i, address := range n.subscribed {
		c := n.peers[address]
		own[c] = true
		c.seldom = n.last.Idle
		if c.fresh(now) && !urgent && now.Sub(c.sent) < reportEvery(i, n.last.Idle) {
			continue
		}
		n.write(c, now, Report, common, &gossippb.Beat{Subscribes: true, Reports: i == 0})
	}
	if n.upstream(now) != nil {
		return
	}
	for _, c := range n.strays(now, urgent, own) { // nobody answers: anyone may know more
		n.write(c, now, ToStray, common, &gossippb.Beat{})
	}
}

// reportEvery is the least interval between two beats to the first relay of a node, or to a further one.
func reportEvery(i int, idle bool) time.Duration {
	switch {
	case i == 0 && !idle:
		return 0
	case i == 0:
		return idleEvery
	case !idle:
		return standbyEvery
	}
	return idleStandbyEvery
}

// relaysPerNode is how many relays a node that is none subscribes to.
const relaysPerNode = 2

// subscribe keeps the relays that answer and finds others for those that do not.
func (n *Node) subscribe(now time.Time) {
	n.subscribed = slices.DeleteFunc(n.subscribed, func(address string) bool {
		c := n.peers[address]
		isRelay := slices.ContainsFunc(n.relays, func(p *Peer) bool { return p.GossipAddress == address })
		return c == nil || !isRelay || c.silent(now)
	})
	// One that answers comes before one that is only tried.
	slices.SortStableFunc(n.subscribed, func(a, b string) int { return n.untried(a, now) - n.untried(b, now) })
	for _, p := range preferredRelays(n.self, n.relays) {
		if len(n.subscribed) >= relaysPerNode {
			return
		}
		c := n.add(p.GossipAddress, now)
		if c == nil || c.silent(now) || slices.Contains(n.subscribed, p.GossipAddress) {
			continue
		}
		n.subscribed = append(n.subscribed, p.GossipAddress)
	}
}

// untried returns 0 for an address that answers and 1 for one that is only tried.
func (n *Node) untried(address string, now time.Time) int {
	if n.peers[address].fresh(now) {
		return 0
	}
	return 1
}
