package gossip

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

// sendRound sends this node's status to the contacts that are due, or, if urgent is set, to all that it regularly sends to.
func (n *Node) sendRound(now time.Time, urgent bool) {
	status := n.status(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastStatus = status
	n.refreshRelays(now, status)
	n.expire(now)
	if n.relaying {
		n.sendToRelays(now, urgent)
		return
	}
	n.report(now, urgent)
}

// refreshRelays determines which nodes should be relays, and whether this node acts as one.
func (n *Node) refreshRelays(now time.Time, status Status) {
	nodes := append([]*Peer{{Identity: n.self, Status: status, Heard: now}}, n.live(now)...)
	size := len(nodes)
	if n.upstream(now) != nil {
		size = max(size, n.reportedFleetSize) // nodes holds only the largest of them
	} else {
		nodes = append(nodes, n.presumedNodes(now)...)
		size = len(nodes)
	}
	relays := selectRelays(nodes, size)
	isSelf := func(p *Peer) bool { return p.VM == n.self.VM }
	n.relaying = status.LeaderEpoch > 0 || slices.ContainsFunc(relays, isSelf) || n.hasReporters(now)
	if status.Leaving {
		n.relaying = n.hasReporters(now)
	}
	for _, p := range n.live(now) {
		if c := n.add(p.GossipAddress, now); c != nil {
			c.addedAt = now // does not expire while it is live, even if only relays hear it
		}
	}
	n.relays = slices.DeleteFunc(relays, isSelf)
}

// presumedNodes returns the nodes that have registered and may be running, but that no node has heard yet.
func (n *Node) presumedNodes(now time.Time) []*Peer {
	var out []*Peer
	for _, c := range n.contacts {
		p := c.presumedPeer(now)
		if p == nil {
			continue
		}
		if _, isHeard := n.lastSeen[p.VM]; !isHeard {
			out = append(out, p)
		}
	}
	return out
}

// expire removes contacts that were not heard for contactExpiry and rosters that were not used for rosterExpiry.
func (n *Node) expire(now time.Time) {
	for address, c := range n.contacts {
		if c.lastActivity().Add(contactExpiry).Before(now) {
			delete(n.contacts, address)
			continue
		}
		for _, digest := range c.usedRosters {
			if r := n.rosters[digest]; r != nil && c.alive(now) {
				r.lastUsed = now
			}
		}
	}
	for digest, r := range n.rosters {
		if now.Sub(r.lastUsed) > rosterExpiry {
			delete(n.rosters, digest)
		}
	}
}

// marshalCommon encodes the part of a round's beats that is the same for all receivers. It returns nil on failure.
func (n *Node) marshalCommon(b *gossippb.Beat) []byte {
	for digest := range n.rosters {
		b.Holds = append(b.Holds, digest)
	}
	content, err := proto.Marshal(b)
	if err != nil {
		return nil
	}
	return content
}

// writeBeat sends a beat to a contact: the encoded common part, followed by the encoded fields that are specific to this
// receiver. Protocol buffers merge two concatenated messages when they are decoded.
func (n *Node) writeBeat(c *contact, now time.Time, kind BeatKind, common []byte, own *gossippb.Beat) {
	own.Tick, own.Echo = c.recordSend(now)
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
