package gossip

import (
	"iter"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// HasReporters reports whether any node relies on this one to pass on what it tells and to tell what is new.
func (n *Node) HasReporters() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasReporters(time.Now())
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

// sendToRelays tells the other relays what this one and those that report to it have, and those that report how the
// fleet stands. Nodes that nobody hears are tried now and then: they may have started anew and know nobody.
func (n *Node) sendToRelays(now time.Time, urgent bool, relays []*Peer) {
	n.own = n.ownRoster(now)
	wanted := make(map[string]bool, len(relays))
	for _, p := range relays {
		wanted[p.GossipAddress] = true
	}
	heard := make(map[string]bool)
	for _, p := range n.live(now) {
		heard[p.GossipAddress] = true
	}
	common := n.marshal(n.partBeat(now))
	for address, c := range n.peers {
		pause := now.Sub(c.sent)
		retry := !heard[address] && (pause >= slowEvery || urgent && len(n.peers) < allRelay)
		switch {
		case c.fresh(now) && (c.peer.Relay || wanted[address]), wanted[address] && pause >= Every, retry:
			n.write(c, now, common, n.rosterFields(c, now, n.own))
		case urgent && c.fresh(now) && c.subscribes: // it is answered whenever it reports
			n.writeWholeFleet(c, now)
		}
	}
}

// partBeat is what the other relays are told.
func (n *Node) partBeat(now time.Time) *gossippb.Beat {
	part := NewTotals()
	part.Add(&n.last)
	for c := range n.reporters(now) {
		part.Add(&c.peer.Status)
	}
	b := toWire(n.self, part.over(n.last), now)
	b.Relay = true
	b.Known = n.known(now)
	return b
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

// answer answers a node that is not a relay: one that subscribes, with what the whole fleet has; another one now and
// then, so that it gets to know the relays.
func (n *Node) answer(b *gossippb.Beat, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.peers[b.GossipAddress]
	switch {
	case c == nil || b.Relay:
	case b.Subscribes:
		n.writeWholeFleet(c, now)
	case now.Sub(c.sent) >= slowEvery/2:
		n.write(c, now, n.marshal(n.partBeat(now)), &gossippb.Beat{})
	}
}

// writeWholeFleet tells a subscriber what all nodes but itself have.
func (n *Node) writeWholeFleet(c *contact, now time.Time) {
	if n.own == nil {
		n.own = n.ownRoster(now)
	}
	rosters := []*roster{n.own}
	for _, other := range n.peers {
		if !other.relay(now) {
			continue
		}
		for _, digest := range other.rosters {
			rosters = append(rosters, n.rosters[digest])
		}
	}
	total := NewTotals()
	total.Add(&n.last)
	total.AddTotals(n.othersNow(now))
	if c.reporter(now) {
		total = total.without(&c.peer.Status)
	}
	b := toWire(n.self, total.over(n.last), now)
	b.Relay, b.WholeFleet = true, true
	n.write(c, now, n.marshal(b), n.rosterFields(c, now, rosters...))
}

// rosterFields names the rosters that this node goes by, with the content of those that the receiver lacks.
func (n *Node) rosterFields(c *contact, now time.Time, rosters ...*roster) *gossippb.Beat {
	b := &gossippb.Beat{}
	for _, r := range rosters {
		if r == nil {
			continue
		}
		b.Rosters = append(b.Rosters, r.digest)
		if !c.holds[r.digest] {
			b.NewRosters = append(b.NewRosters, r.toWire(now))
		}
	}
	return b
}
