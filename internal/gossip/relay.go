package gossip

import (
	"iter"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// Relaying reports whether this node passes on what others tell. While it has not met the fleet it is one by itself.
func (n *Node) Relaying() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relaying
}

// hasReporters reports whether any node relies on this one to pass on what it tells.
func (n *Node) hasReporters(now time.Time) bool {
	for range n.reporters(now) {
		return true
	}
	return false
}

// reporters yields the nodes that rely on this one to pass on what they tell.
func (n *Node) reporters(now time.Time) iter.Seq[*contact] {
	return func(yield func(*contact) bool) {
		for _, c := range n.peers {
			if c.reporter(now) && !yield(c) {
				return
			}
		}
	}
}

// sendToRelays tells the other relays what this one and those that report to it have.
func (n *Node) sendToRelays(now time.Time, urgent bool) {
	n.refreshOwnRoster(now)
	common := n.marshal(n.partBeat(now))
	wanted := make(map[*contact]bool, len(n.relays))
	for _, p := range n.relays {
		c := n.add(p.GossipAddress, now)
		if c == nil {
			continue
		}
		wanted[c] = true
		if c.fresh(now) || now.Sub(c.sent) >= Every {
			n.write(c, now, ToRelay, common, n.rosterFields(c, now, true, n.own))
		}
	}
	for _, c := range n.strays(now, urgent, wanted) {
		n.write(c, now, ToStray, common, n.rosterFields(c, now, true, n.own))
	}
}

// strays returns some of the other addresses that are due to be told: nodes that nobody hears and, of a relay, other relays
// that it does not count on, but none of the wanted ones, which are told otherwise. A node that nobody hears may have
// started anew and know nobody. Only some are told at a time, because while a large fleet starts each node knows all
// addresses and hears none: with all of them 295 nodes sent 490 MB in two seconds.
func (n *Node) strays(now time.Time, urgent bool, wanted map[*contact]bool) []*contact {
	heard := make(map[string]bool)
	for _, p := range n.live(now) {
		heard[p.GossipAddress] = true
	}
	var named, out []*contact
	for address, c := range n.peers { // in random order
		if len(named) == straysARound {
			return named
		}
		pause := now.Sub(c.sent)
		relay := n.relaying && c.relay(now) && pause >= standbyEvery
		unheard := !c.fresh(now) && !heard[address] && (pause >= slowEvery || urgent && len(n.peers) < SmallFleet)
		switch {
		case wanted[c] || !relay && !unheard:
		case unheard && c.promising(now):
			named = append(named, c)
		case len(out) < straysARound:
			out = append(out, c)
		}
	}
	out = append(named, out...)
	return out[:min(len(out), straysARound)]
}

// partBeat is what the other relays are told.
func (n *Node) partBeat(now time.Time) *gossippb.Beat {
	part := NewTotals()
	part.Add(&n.last)
	for c := range n.reporters(now) {
		part.Add(&c.peer.Status)
	}
	b := toWire(n.self, part.over(n.last), now)
	b.Relay = n.relaying
	b.Known = n.known(now)
	return b
}

// refreshOwnRoster lists this relay and the nodes that report to it anew, if that is due.
func (n *Node) refreshOwnRoster(now time.Time) {
	if n.own != nil && !n.ownStale && now.Sub(n.ownAt) < rosterEvery && len(n.peers) >= SmallFleet {
		return
	}
	n.own, n.ownAt, n.ownStale = n.ownRoster(now), now, false
}

// ownRoster lists this relay and the nodes that report to it.
func (n *Node) ownRoster(now time.Time) *roster {
	status := n.last
	status.Loads = nil
	members := []*Peer{{Identity: n.self, Status: status, Heard: now}}
	for c := range n.reporters(now) {
		members = append(members, c.peer)
	}
	return newRoster(members)
}

// answer answers a node that subscribes with what the whole fleet has, and another one now and then, so that it gets to
// know the relays. Relays tell each other in their rounds; one that tells a node which is none has just started and knows
// nobody else.
func (n *Node) answer(b *gossippb.Beat, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.peers[b.GossipAddress]
	switch {
	case c == nil || b.Relay && n.relaying:
	case b.Subscribes:
		n.writeWholeFleet(c, now)
	case now.Sub(c.sent) >= slowEvery/2:
		n.write(c, now, ToStray, n.marshal(n.partBeat(now)), &gossippb.Beat{})
	}
}

// writeWholeFleet tells a subscriber what all nodes but itself have.
func (n *Node) writeWholeFleet(c *contact, now time.Time) {
	total := NewTotals()
	total.Add(&n.last)
	total.AddTotals(n.othersNow(now))
	if c.reporter(now) {
		total = total.without(&c.peer.Status)
	}
	if c.peer != nil && c.peer.Idle {
		total.Loads = nil
	}
	b := toWire(n.self, total.over(n.last), now)
	b.Relay, b.WholeFleet = true, true
	b.Nodes = uint32(1 + n.knownNow(now)) //nolint:gosec // fleets are smaller
	n.write(c, now, ToSubscriber, n.marshal(b), n.rosterFields(c, now, c.reporter(now), n.refreshView(now)))
}

// rosterFields names the rosters that this node goes by, if wanted with the content of those that the receiver lacks.
func (n *Node) rosterFields(c *contact, now time.Time, content bool, rosters ...*roster) *gossippb.Beat {
	b := &gossippb.Beat{}
	for _, r := range rosters {
		if r == nil {
			continue
		}
		b.Rosters = append(b.Rosters, r.digest)
		if content && !c.holds[r.digest] {
			b.NewRosters = append(b.NewRosters, r.toWire(now))
		}
	}
	return b
}
