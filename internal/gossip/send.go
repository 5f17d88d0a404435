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
	n.review(now, status)
	n.forget(now)
	if n.relaying {
		n.sendToRelays(now, urgent)
		return
	}
	n.report(now, urgent)
}

// review decides which nodes should be relays, and whether this node is one.
func (n *Node) review(now time.Time, status Status) {
	nodes := append([]*Peer{{Identity: n.self, Status: status, Heard: now}}, n.live(now)...)
	size := len(nodes)
	if n.upstream(now) != nil {
		size = max(size, n.toldNodes) // it knows the largest ones
	} else {
		nodes = append(nodes, n.presumed(now)...)
		size = len(nodes)
	}
	relays := relaysOf(nodes, size)
	isSelf := func(p *Peer) bool { return p.VM == n.self.VM }
	n.relaying = status.LeaderEpoch > 0 || slices.ContainsFunc(relays, isSelf) || n.hasReporters(now)
	if status.Leaving {
		n.relaying = n.hasReporters(now)
	}
	for _, p := range n.live(now) {
		if c := n.add(p.GossipAddress, now); c != nil {
			c.added = now // kept, though perhaps only relays hear it
		}
	}
	n.relays = slices.DeleteFunc(relays, isSelf)
}

// presumed returns the nodes that have registered and that nobody has heard yet.
func (n *Node) presumed(now time.Time) []*Peer {
	var out []*Peer
	for _, c := range n.peers {
		p := c.presumed(now)
		if p == nil {
			continue
		}
		if _, heard := n.seen[p.VM]; !heard {
			out = append(out, p)
		}
	}
	return out
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

// marshal encodes what all receivers of a round get.
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
func (n *Node) write(c *contact, now time.Time, kind BeatKind, common []byte, own *gossippb.Beat) {
	own.Tick, own.Echo = c.sending(now)
	n.addQuarantine(c, own, now)
	rest, err := proto.Marshal(own)
	if err != nil || common == nil {
		return
	}
	content := slices.Concat(common, rest)
	_, _ = n.conn.WriteToUDPAddrPort(content, c.address)
	if n.OnSent != nil {
		n.OnSent(kind, len(content))
	}
}
