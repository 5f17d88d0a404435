package gossip

import (
	"slices"
	"time"
)

const (
	// minViewNodes is the minimum number of serving nodes of each data centre in a partial view. Callers are sent to the
	// eight largest of a data centre, and to the next largest when those are lost; relays are selected from the largest, too.
	minViewNodes = 16
	// viewRefreshInterval is how often a relay rebuilds its partial view. It does so earlier if a node of the view leaves, or
	// starts or stops serving or leading. While a fleet starts the view changes constantly.
	viewRefreshInterval = time.Second
	// viewCapacityFactor is the ratio of the capacity of a view's nodes to the capacity that the running requests need, so
	// that the number of requests may double before the view is rebuilt.
	viewCapacityFactor = 2
)

// partialView is the subset of the fleet's nodes that a relay sends to the nodes reporting to it. Sending all nodes to each
// node of a starting fleet of 300 took nine tenths of the traffic, 250 KB for each, and grew with the fleet's size.
type partialView struct {
	roster   *roster
	at       time.Time         // when the view was built
	stale    bool              // an urgent change requires a rebuild
	statuses map[string]Status // of its nodes when it was built, by VM
}

// refreshView returns the partial view's roster and rebuilds it first if that is due.
func (n *Node) refreshView(now time.Time) *roster {
	if n.view.roster != nil && !n.view.stale && now.Sub(n.view.at) < viewRefreshInterval {
		return n.view.roster
	}
	status := n.lastStatus
	status.Loads = nil
	nodes := append([]*Peer{{Identity: n.self, Status: status, Heard: now}}, n.live(now)...)
	running := SumDemands(n.othersNow(now).Demands).Running + SumDemands(n.lastStatus.Demands).Running
	members := selectView(nodes, n.relays, viewCapacityFactor*n.CapacityPerRequest*float64(running))
	n.view = partialView{roster: newRoster(members), at: now, statuses: make(map[string]Status, len(members))}
	for _, p := range members {
		n.view.statuses[p.VM] = p.Status
	}
	return n.view.roster
}

// selectView returns the nodes of a partial view: the relays, the leader, and of each data centre the largest nodes, until
// at least minViewNodes of them serve and these have an equal share of capacity, which is in thousandths of a core.
func selectView(nodes, relays []*Peer, capacity float64) []*Peer {
	kept := make(map[string]bool, len(relays))
	for _, p := range relays {
		kept[p.VM] = true
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, CompareSize)
	type viewShare struct {
		nodes    int
		capacity float64
	}
	shares := make(map[string]*viewShare)
	for _, p := range sorted {
		shares[p.DataCentre] = &viewShare{}
	}
	capacity /= float64(len(shares))
	var out []*Peer
	for _, p := range sorted {
		s := shares[p.DataCentre]
		enough := s.nodes >= minViewNodes && s.capacity >= capacity
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

// isOutdatedBy reports whether p differs from the partial view in a way that receivers of the view must be sent at once:
// a node of the view leaves, starts or stops serving or has another leader epoch, or a node outside the view leads.
func (v *partialView) isOutdatedBy(p *Peer) bool {
	listed, known := v.statuses[p.VM]
	return known && (listed.Leaving != p.Leaving || listed.Serving != p.Serving || listed.Isolated != p.Isolated || listed.LeaderEpoch != p.LeaderEpoch) || !known && p.LeaderEpoch > 0
}
