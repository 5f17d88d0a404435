package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// SmallFleet is the maximum number of nodes of a fleet in which each node exchanges beats with all others.
	SmallFleet = 12
	// minRelays is the minimum number of relays in a larger fleet.
	minRelays = 6
)

// relaysPerSqrtNode is the ratio of the number of relays to the square root of the number of nodes. Relays send each other
// all totals ten times a second, which costs more than their beats to the other nodes.
const relaysPerSqrtNode = 0.6

// relayCount returns the number of relays for a fleet of the given size. It grows with the square root of the size, so that
// neither the load of one relay nor the traffic between relays grows in proportion to the fleet.
func relayCount(nodes int) int {
	if nodes <= SmallFleet {
		return nodes
	}
	return max(minRelays, int(math.Ceil(relaysPerSqrtNode*math.Sqrt(float64(nodes)))))
}

// selectRelays returns the nodes that should be relays: the leader, then the largest node of each data centre, then the
// second largest of each, and so on.
// size is the number of nodes in the fleet, of which the given nodes are the largest. Nodes that know different parts of
// the fleet may select different relays; this is harmless, since any node that others report to acts as a relay.
func selectRelays(nodes []*Peer, size int) []*Peer {
	ranked := make([]rankedPeer, 0, len(nodes))
	for _, p := range nodes {
		if !p.Leaving {
			ranked = append(ranked, rankedPeer{Peer: p})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedPeer) int { return CompareSize(a.Peer, b.Peer) })
	countByDataCentre := make(map[string]int)
	for i := range ranked {
		dataCentre := ranked[i].DataCentre
		ranked[i].rankInDataCentre = countByDataCentre[dataCentre]
		countByDataCentre[dataCentre]++
	}
	slices.SortStableFunc(ranked, rankedPeer.compareRank)
	var out []*Peer
	for _, r := range ranked[:min(len(ranked), relayCount(size))] {
		out = append(out, r.Peer)
	}
	return out
}

// rankedPeer is a node with its rank for the selection of relays.
type rankedPeer struct {
	*Peer
	rankInDataCentre int // position among the nodes of its data centre by size, the largest being 0
}

// CompareSize orders nodes by the capacity of their VMs, the largest first. Equal ones are ordered by a hash of the VM's
// name, so that all nodes use the same order.
func CompareSize(a, b *Peer) int {
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
}

// compareRank orders the leader first, then the nodes by their rank within their data centres.
func (r rankedPeer) compareRank(other rankedPeer) int {
	return cmp.Or(cmp.Compare(min(other.LeaderEpoch, 1), min(r.LeaderEpoch, 1)), cmp.Compare(r.rankInDataCentre, other.rankInDataCentre))
}

// preferredRelays orders the relays by one node's preference: those of its own data centre first, and within each group by
// a hash that differs from node to node, so that the nodes of a data centre spread over its relays.
func preferredRelays(self Identity, relays []*Peer) []*Peer {
	out := slices.Clone(relays)
	weight := func(p *Peer) uint64 { return xxhash.Sum64String(self.VM + "/" + p.VM) }
	slices.SortFunc(out, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)), cmp.Compare(weight(b), weight(a)))
	})
	return out
}

// distance returns 0 for a node in the same data centre and 1 for any other.
func distance(self Identity, p *Peer) int {
	if p.DataCentre == self.DataCentre {
		return 0
	}
	return 1
}
