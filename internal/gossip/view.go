package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Live returns the other live nodes, heard by this node or by relays that it hears, sorted by VM. In a large fleet a node
// that is not a relay knows only the nodes of its relays' partial views, mainly the largest of each data centre.
func (n *Node) Live(now time.Time) []*Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live(now)
}

// live is Live for callers that hold n.mu.
func (n *Node) live(now time.Time) []*Peer {
	if n.liveAt.Equal(now) || now.Sub(n.liveAt) < derivedStateTTL && !n.liveListStale {
		return n.liveList
	}
	found := make(map[string]*Peer, len(n.contacts))
	for _, c := range n.contacts {
		if c.alive(now) {
			found[c.peer.VM] = c.peer
		}
	}
	for _, c := range n.contacts {
		if !c.alive(now) {
			continue
		}
		for _, digest := range c.usedRosters {
			n.addRoster(found, n.rosters[digest], c.peer.Heard)
		}
	}
	out := make([]*Peer, 0, len(found))
	for _, p := range found {
		n.lastSeen[p.VM] = now
		n.dataCentreLastSeen[p.DataCentre] = now
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Peer) int { return cmp.Compare(a.VM, b.VM) })
	n.liveAt, n.liveList, n.liveListStale = now, out, false
	return out
}

// addRoster adds the nodes of a roster that are missing from found, as heard at the time when the relay that uses the
// roster was heard.
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

// LostContact reports whether a data centre had live nodes within contactExpiry and has none now. The state of its endpoints
// is then unknown: probe requests to its nodes, or their replies, do not arrive.
func (n *Node) LostContact(dataCentre string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.live(now)
	at, wasSeen := n.dataCentreLastSeen[dataCentre]
	hasLiveNode := dataCentre == n.self.DataCentre || slices.ContainsFunc(live, func(p *Peer) bool { return p.DataCentre == dataCentre })
	return wasSeen && !hasLiveNode && now.Sub(at) < contactExpiry
}

// KnownCount returns the number of other nodes that this node or its relay has heard within contactExpiry.
func (n *Node) KnownCount(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownNow(now)
}

// knownNow is KnownCount for callers that hold n.mu.
func (n *Node) knownNow(now time.Time) int {
	n.live(now)
	for vm, at := range n.lastSeen {
		if now.Sub(at) > contactExpiry {
			delete(n.lastSeen, vm)
		}
	}
	if !n.relaying && now.Sub(n.fleetSizeReportedAt) <= contactExpiry {
		return max(len(n.lastSeen), n.reportedFleetSize-1)
	}
	return len(n.lastSeen)
}

// HearsRelay reports whether a relay reports the size of the fleet to this node.
func (n *Node) HearsRelay(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream(now) != nil
}

// BusyCount estimates how many nodes of the fleet have requests. This node is counted as one of them.
func (n *Node) BusyCount(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	busy := 1 + n.othersNow(now).Busy
	if n.upstream(now) != nil {
		return busy // the relay has extrapolated it
	}
	return n.extrapolate(busy, now)
}

// extrapolate estimates a count over all nodes of the fleet from that over the live ones. Nodes that are not heard may be cut
// off and still serve callers.
func (n *Node) extrapolate(count int, now time.Time) int {
	heard := 1 + len(n.live(now))
	if n.FleetSize == nil {
		return count
	}
	size := max(heard, n.FleetSize(now))
	return (count*size + heard - 1) / heard
}

// Others returns the totals of all other nodes. The result is shared and must not be modified.
func (n *Node) Others(now time.Time) *Totals {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.othersNow(now)
}

// othersNow is Others for callers that hold n.mu.
func (n *Node) othersNow(now time.Time) *Totals {
	if n.others == nil || now.Sub(n.othersAt) >= derivedStateTTL {
		n.others, n.othersAt = n.sumOthers(now), now
	}
	return n.others
}

// sumOthers returns the totals of the other nodes: those from the upstream relay, or if there is none the sum of what
// relays and reporters have sent.
func (n *Node) sumOthers(now time.Time) *Totals {
	total := NewTotals()
	if c := n.upstream(now); c != nil {
		total.Add(&c.peer.Status)
		return total
	}
	for _, c := range n.contacts {
		if !c.wholeFleet && (c.isRelay(now) || c.isReporter(now)) {
			total.Add(&c.peer.Status)
		}
	}
	return total
}

// upstream returns the live relay whose totals of the whole fleet are used, or nil if there is none or this node is a
// relay itself.
func (n *Node) upstream(now time.Time) *contact {
	if n.relaying {
		return nil
	}
	for _, address := range n.subscribedRelays {
		if c := n.contacts[address]; c != nil && c.alive(now) && c.wholeFleet {
			return c
		}
	}
	return nil
}
