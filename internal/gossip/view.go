package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Live returns the other nodes heard lately, by this node or by relays that it hears, in order of VM. A node of a large fleet
// that is no relay knows of the largest of each data centre only.
func (n *Node) Live(now time.Time) []*Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live(now)
}

// live is Live with the lock held.
func (n *Node) live(now time.Time) []*Peer {
	if n.liveAt.Equal(now) || now.Sub(n.liveAt) < viewFor && !n.changed {
		return n.liveList
	}
	found := make(map[string]*Peer, len(n.peers))
	for _, c := range n.peers {
		if c.fresh(now) {
			found[c.peer.VM] = c.peer
		}
	}
	for _, c := range n.peers {
		if !c.fresh(now) {
			continue
		}
		for _, digest := range c.rosters {
			n.addRoster(found, n.rosters[digest], c.peer.Heard)
		}
	}
	out := make([]*Peer, 0, len(found))
	for _, p := range found {
		n.seen[p.VM] = now
		n.zoneSeen[p.Zone] = now
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	n.liveAt, n.liveList, n.changed = now, out, false
	return out
}

// addRoster adds the nodes of a roster that are not found yet, as heard by the relay that goes by it.
func (n *Node) addRoster(found map[string]*Peer, r *roster, heard time.Time) {
	if r == nil {
		return
	}
	for _, m := range r.members {
		if _, known := found[m.VM]; known || m.VM == n.self.VM {
			continue
		}
		p := *m
		p.Uptime += heard.Sub(m.Heard)
		p.Heard = heard
		found[m.VM] = &p
	}
}

// OutOfSight reports whether a data centre had live nodes lately and none is live now: nobody can tell then what goes on
// there, because those who could do not hear the question or are not heard.
func (n *Node) OutOfSight(dataCentre string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.live(now)
	at, known := n.zoneSeen[dataCentre]
	inSight := dataCentre == n.self.Zone || slices.ContainsFunc(live, func(p *Peer) bool { return p.Zone == dataCentre })
	return known && !inSight && now.Sub(at) < forgetAfter
}

// Known returns how many other nodes have been heard and are not forgotten, by this node or by its relay.
func (n *Node) Known(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownNow(now)
}

// knownNow is Known with the lock held.
func (n *Node) knownNow(now time.Time) int {
	n.live(now)
	for vm, at := range n.seen {
		if now.Sub(at) > forgetAfter {
			delete(n.seen, vm)
		}
	}
	if !n.relaying && now.Sub(n.toldAt) <= forgetAfter {
		return max(len(n.seen), n.toldNodes-1)
	}
	return len(n.seen)
}

// Others returns the loads and doubts of all other nodes. The result is shared; it must not be changed.
func (n *Node) Others(now time.Time) *Totals {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.othersNow(now)
}

// othersNow is Others with the lock held.
func (n *Node) othersNow(now time.Time) *Totals {
	if n.others == nil || now.Sub(n.othersAt) >= viewFor {
		n.others, n.othersAt = n.sum(now), now
	}
	return n.others
}

// sum adds up what the other nodes have, or takes the word of a relay for it.
func (n *Node) sum(now time.Time) *Totals {
	total := NewTotals()
	if c := n.upstream(now); c != nil {
		total.Add(&c.peer.Status)
		return total
	}
	for _, c := range n.peers {
		if !c.wholeFleet && (c.relay(now) || c.reporter(now)) {
			total.Add(&c.peer.Status)
		}
	}
	return total
}

// upstream returns the relay whose word for the whole fleet is taken, or nil if this node is a relay.
func (n *Node) upstream(now time.Time) *contact {
	if n.relaying {
		return nil
	}
	for _, address := range n.subscribed {
		if c := n.peers[address]; c != nil && c.fresh(now) && c.wholeFleet {
			return c
		}
	}
	return nil
}
