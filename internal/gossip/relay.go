package gossip

import (
	"iter"
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// Relaying reports whether this node is a relay. A node that has not heard other nodes yet considers itself one.
func (n *Node) Relaying() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relaying
}

// hasReporters reports whether any node reports to this one.
func (n *Node) hasReporters(now time.Time) bool {
	for range n.reporters(now) {
		return true
	}
	return false
}

// reporters yields the live nodes that report to this one and rely on it to pass their status on.
func (n *Node) reporters(now time.Time) iter.Seq[*contact] {
	return func(yield func(*contact) bool) {
		for _, c := range n.contacts {
			if c.isReporter(now) && !yield(c) {
				return
			}
		}
	}
}

// sendToRelays sends the totals of this relay and its reporters to the other relays and to some strays.
func (n *Node) sendToRelays(now time.Time, urgent bool) {
	n.refreshOwnRoster(now)
	common := n.marshalCommon(n.relayedBeat(now))
	relayContacts := make(map[*contact]bool, len(n.relays))
	for _, p := range n.relays {
		c := n.add(p.GossipAddress, now)
		if c == nil {
			continue
		}
		relayContacts[c] = true
		if c.alive(now) || now.Sub(c.lastSent) >= HeartbeatInterval {
			n.writeBeat(c, now, RelayBeat, common, n.rosterFields(c, now, true, n.ownRoster))
		}
	}
	for _, c := range n.strays(now, urgent, relayContacts) {
		n.writeBeat(c, now, StrayBeat, common, n.rosterFields(c, now, true, n.ownRoster))
	}
}

// strays returns up to maxStraysPerRound contacts, other than the excluded ones, that are due for a beat: contacts that no
// node hears, likely relays first, and, if this node is a relay, nodes that act as relays without having been selected. A
// node that no other hears may have restarted without any contacts. The number is limited because while a large fleet starts,
// each node has all addresses and hears none: with beats to all of them 295 nodes sent 490 MB in two seconds.
func (n *Node) strays(now time.Time, urgent bool, excluded map[*contact]bool) []*contact {
	heard := make(map[string]bool)
	for _, p := range n.live(now) {
		heard[p.GossipAddress] = true
	}
	var likelyRelays, out []*contact
	for address, c := range n.contacts { // in random order
		if len(likelyRelays) == maxStraysPerRound {
			return likelyRelays
		}
		sinceSent := now.Sub(c.lastSent)
		relay := n.relaying && c.isRelay(now) && sinceSent >= standbyInterval
		unheard := !c.alive(now) && !heard[address] && (sinceSent >= unresponsiveInterval || urgent && len(n.contacts) < SmallFleet)
		switch {
		case excluded[c] || !relay && !unheard:
		case unheard && c.isLikelyRelay(now):
			likelyRelays = append(likelyRelays, c)
		case len(out) < maxStraysPerRound:
			out = append(out, c)
		}
	}
	out = append(likelyRelays, out...)
	return out[:min(len(out), maxStraysPerRound)]
}

// relayedBeat returns the part that all beats to other relays share: the totals of this node and its reporters.
func (n *Node) relayedBeat(now time.Time) *gossippb.Beat {
	total := NewTotals()
	total.Add(&n.lastStatus)
	for c := range n.reporters(now) {
		total.Add(&c.peer.Status)
	}
	b := toWire(n.self, total.applyTo(n.lastStatus), now)
	b.Relay = n.relaying
	b.Known = n.sampleKnownNodes(now)
	return b
}

// refreshOwnRoster rebuilds this relay's roster if that is due.
func (n *Node) refreshOwnRoster(now time.Time) {
	if n.ownRoster != nil && !n.ownRosterStale && now.Sub(n.ownRosterAt) < rosterInterval && len(n.contacts) >= SmallFleet {
		return
	}
	n.ownRoster, n.ownRosterAt, n.ownRosterStale = n.buildOwnRoster(now), now, false
}

// buildOwnRoster returns a roster of this relay and its reporters.
func (n *Node) buildOwnRoster(now time.Time) *roster {
	status := n.lastStatus
	status.Loads = nil
	members := []*Peer{{Identity: n.self, Status: status, Heard: now}}
	for c := range n.reporters(now) {
		members = append(members, c.peer)
	}
	return newRoster(members)
}

// reply answers a beat. A subscriber gets the totals of the whole fleet. Another node gets a beat at most every
// unresponsiveInterval/2, which lists relays. Relays do not reply to each other, because they exchange beats in their regular
// rounds; a relay that sends to a node that is none has just started and has not discovered others, so it does get a reply.
func (n *Node) reply(b *gossippb.Beat, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[b.GossipAddress]
	switch {
	case c == nil || b.Relay && n.relaying:
	case b.Subscribes:
		n.sendWholeFleet(c, now)
	case now.Sub(c.lastSent) >= unresponsiveInterval/2:
		n.writeBeat(c, now, StrayBeat, n.marshalCommon(n.relayedBeat(now)), &gossippb.Beat{})
	}
}

// sendWholeFleet sends a subscriber the totals of all nodes except the subscriber itself.
func (n *Node) sendWholeFleet(c *contact, now time.Time) {
	total := NewTotals()
	total.Add(&n.lastStatus)
	total.AddTotals(n.othersNow(now))
	if c.isReporter(now) {
		total = total.without(&c.peer.Status)
	}
	if c.peer != nil && c.peer.Idle {
		total.Loads = nil
	}
	b := toWire(n.self, total.applyTo(n.lastStatus), now)
	b.Relay, b.WholeFleet = true, true
	b.Nodes = uint32(1 + n.knownNow(now))           //nolint:gosec // fleets are smaller
	b.Busy = uint32(n.extrapolate(total.Busy, now)) //nolint:gosec // never negative
	n.writeBeat(c, now, SubscriberBeat, n.marshalCommon(b), n.rosterFields(c, now, c.isReporter(now), n.refreshView(now)))
}

// rosterFields returns a beat that names the given rosters by digest and, if withContent is set, includes those that the
// receiver lacks.
func (n *Node) rosterFields(c *contact, now time.Time, withContent bool, rosters ...*roster) *gossippb.Beat {
	b := &gossippb.Beat{}
	for _, r := range rosters {
		if r == nil {
			continue
		}
		b.Rosters = append(b.Rosters, r.digest)
		if withContent && !c.knownRosters[r.digest] {
			b.NewRosters = append(b.NewRosters, r.toWire(now))
		}
	}
	return b
}
