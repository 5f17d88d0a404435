package gossip

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// send tells this node's status to those that are due; urgent, to everyone who hears this node regularly.
func (n *Node) send(now time.Time, urgent bool) {
	status := n.status(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last = status
	relays := n.review(now, status)
	n.forget(now)
	if n.relaying {
		n.sendToRelays(now, urgent, relays)
		return
	}
	n.report(now, urgent, relays)
}

// review decides whether this node is a relay, and returns the nodes that should be.
func (n *Node) review(now time.Time, status Status) []*Peer {
	nodes := append([]*Peer{{Identity: n.self, Status: status, Heard: now}}, n.live(now)...)
	relays := relaysOf(nodes)
	isSelf := func(p *Peer) bool { return p.VM == n.self.VM }
	n.relaying = status.LeaderEpoch > 0 || status.Watching || slices.ContainsFunc(relays, isSelf) || n.hasReporters(now)
	if status.Leaving {
		n.relaying = n.hasReporters(now)
	}
	for _, p := range nodes[1:] {
		if c := n.add(p.GossipAddress, now); c != nil {
			c.added = now // kept, though perhaps only relays hear it
		}
	}
	return slices.DeleteFunc(relays, isSelf)
}

func (n *Node) hasReporters(now time.Time) bool {
	for _, c := range n.peers {
		if c.reporter(now) {
			return true
		}
	}
	return false
}

// forget drops the addresses and rosters that are of no use any more.
func (n *Node) forget(now time.Time) {
	for address, c := range n.peers {
		if c.lastSign().Add(forgetAfter).Before(now) {
			delete(n.peers, address)
			continue
		}
		for _, digest := range c.rosters {
			if r := n.rosters[digest]; r != nil && c.fresh(now) {
				r.used = now
			}
		}
	}
	for digest, r := range n.rosters {
		if now.Sub(r.used) > rosterFor {
			delete(n.rosters, digest)
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
		switch {
		case c.relay(now), c.fresh(now) && wanted[address]:
			n.write(c, now, common, n.rosterFields(c, []*roster{n.own}))
		case c.fresh(now) && c.subscribes:
			if urgent {
				n.writeWholeFleet(c, now)
			}
		case wanted[address] && now.Sub(c.sent) >= Every, !heard[address] && (now.Sub(c.sent) >= slowEvery || urgent && len(n.peers) < allRelay):
			n.write(c, now, common, n.rosterFields(c, []*roster{n.own}))
		}
	}
}

// partBeat is what the other relays are told.
func (n *Node) partBeat(now time.Time) *gossippb.Beat {
	part := NewTotals()
	part.Add(&n.last)
	for _, c := range n.peers {
		if c.reporter(now) {
			part.Add(&c.peer.Status)
		}
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
	for _, c := range n.peers {
		if c.reporter(now) {
			members = append(members, c.peer)
		}
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
	n.write(c, now, n.marshal(b), n.rosterFields(c, rosters))
}

// rosterFields names the rosters that this node goes by, with the content of those that the receiver lacks.
func (n *Node) rosterFields(c *contact, rosters []*roster) *gossippb.Beat {
	b := &gossippb.Beat{}
	now := time.Now()
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

// report tells this node's status to its relays: to the first each time, to the second now and then.
func (n *Node) report(now time.Time, urgent bool, relays []*Peer) {
	n.own = nil
	n.subscribe(now, relays)
	b := toWire(n.self, n.last, now)
	b.Known = n.known(now)
	common := n.marshal(b)
	for i, address := range n.subscribed {
		c := n.peers[address]
		if i > 0 && c.fresh(now) && !urgent && now.Sub(c.sent) < standbyEvery {
			continue
		}
		n.write(c, now, common, &gossippb.Beat{Subscribes: true, Reports: i == 0})
	}
	if n.upstream(now) != nil {
		return
	}
	for _, c := range n.peers { // nobody answers: anyone may know more
		if !c.fresh(now) && now.Sub(c.sent) >= slowEvery {
			n.write(c, now, common, &gossippb.Beat{})
		}
	}
}

// relaysPerNode is how many relays a node that is none subscribes to.
const relaysPerNode = 2

// subscribe keeps the relays that answer and finds others for those that do not.
func (n *Node) subscribe(now time.Time, relays []*Peer) {
	n.subscribed = slices.DeleteFunc(n.subscribed, func(address string) bool {
		c := n.peers[address]
		isRelay := slices.ContainsFunc(relays, func(p *Peer) bool { return p.GossipAddress == address })
		return c == nil || !isRelay || c.silent(now)
	})
	// One that answers comes before one that is only tried.
	slices.SortStableFunc(n.subscribed, func(a, b string) int { return n.untried(a, now) - n.untried(b, now) })
	for _, p := range preferredRelays(n.self, relays) {
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

func (n *Node) untried(address string, now time.Time) int {
	if n.peers[address].fresh(now) {
		return 0
	}
	return 1
}

func (n *Node) marshal(b *gossippb.Beat) []byte {
	for digest := range n.rosters {
		b.Holds = append(b.Holds, digest)
	}
	content, err := proto.Marshal(b)
	if err != nil {
		return nil
	}
	return content
}

// write sends the common part of a beat and, appended as a second message that sets the fields which differ from
// receiver to receiver, the rest.
func (n *Node) write(c *contact, now time.Time, common []byte, own *gossippb.Beat) {
	own2 := c.sending(now)
	own.Tick, own.Echo = own2.Tick, own2.Echo
	rest, err := proto.Marshal(own)
	if err != nil || common == nil {
		return
	}
	_, _ = n.conn.WriteToUDPAddrPort(slices.Concat(common, rest), c.address)
}
