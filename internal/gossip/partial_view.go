package gossip

import (
	"slices"
	"time"
)

const (
	// viewLeast is how many nodes of each data centre a partial view holds at least. Callers are sent to the eight largest of
	// one, and when those are lost to the next; relays are drawn from the largest ones, too.
	viewLeast = 16
	// viewEvery is how often a relay draws up its partial view anew, unless a node of it leaves or begins or ends to serve or
	// to lead: while a fleet starts it changes all the time.
	viewEvery = time.Second
	// viewMargin is how many times the capacity that the running requests need is in a view: they may double before it is
	// drawn up anew.
	viewMargin = 2
)

// partialView is what a relay tells those that report to it of the other nodes: those that they may have to know. All nodes
// told to each of 300 that start were nine tenths of what these sent, 250 KB for each, and grew with the fleet's size.
type partialView struct {
	roster *roster
	at     time.Time
	stale  bool
	told   map[string]Status // of its nodes, by VM
}

// refreshView draws up the partial view anew, if that is due.
func (n *Node) refreshView(now time.Time) *roster {
	if n.view.roster != nil && !n.view.stale && now.Sub(n.view.at) < viewEvery {
		return n.view.roster
	}
	status := n.last
	status.Loads = nil
	nodes := append([]*Peer{{Identity: n.self, Status: status, Heard: now}}, n.live(now)...)
	running := Sum(n.othersNow(now).Demands).Running + Sum(n.last.Demands).Running
	members := viewOf(nodes, n.relays, viewMargin*n.CapacityOfRequest*float64(running))
	n.view = partialView{roster: newRoster(members), at: now, told: make(map[string]Status, len(members))}
	for _, p := range members {
		n.view.told[p.VM] = p.Status
	}
	return n.view.roster
}

// viewOf returns the nodes of a partial view: the relays, who leads, and of each data centre the largest that serve, so many
// that all of these have that capacity, in thousandths of a core.
func viewOf(nodes, relays []*Peer, capacity float64) []*Peer {
	kept := make(map[string]bool, len(relays))
	for _, p := range relays {
		kept[p.VM] = true
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, CompareSize)
	type share struct {
		nodes    int
		capacity float64
	}
	shares := make(map[string]*share)
	for _, p := range sorted {
		shares[p.Zone] = &share{}
	}
	capacity /= float64(len(shares))
	var out []*Peer
	for _, p := range sorted {
		s := shares[p.Zone]
		enough := s.nodes >= viewLeast && s.capacity >= capacity
		if enough && !kept[p.VM] && p.LeaderEpoch == 0 {
			continue
		}
		out = append(out, p)
		if p.Serving && !p.Leaving {
			s.nodes++
			s.capacity += float64(p.Capacity)
		}
	}
	return out
}

// outdates reports whether the partial view told something else of a node that those who have it are to know at once.
func (v *partialView) outdates(p *Peer) bool {
	told, known := v.told[p.VM]
	return known && (told.Leaving != p.Leaving || told.Serving != p.Serving || told.LeaderEpoch != p.LeaderEpoch) || !known && p.LeaderEpoch > 0
}
