package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// SmallFleet is up to how many nodes each of them hears all others itself.
	SmallFleet = 12
	// leastRelays is how many relays a larger fleet has at least.
	leastRelays = 6
)

// relayPart is how many relays a fleet has for each unit of the root of its size. Relays tell each other everything ten
// times a second, so their exchange costs more than what they tell the other nodes.
const relayPart = 0.6

// relayCount returns how many relays a fleet has: with the root of its size neither a relay nor the exchange between
// relays grows as the fleet does.
func relayCount(nodes int) int {
	if nodes <= SmallFleet {
		return nodes
	}
	return max(leastRelays, int(math.Ceil(relayPart*math.Sqrt(float64(nodes)))))
}

// relaysOf returns which of the nodes should be relays: the leader, and of each data centre in turn the largest. Nodes
// that see different parts of the fleet may disagree: whoever is reported to acts as a relay. Size is how many nodes the
// fleet has, of which these are the largest.
func relaysOf(nodes []*Peer, size int) []*Peer {
	ranked := make([]rankedPeer, 0, len(nodes))
	for _, p := range nodes {
		if !p.Leaving {
			ranked = append(ranked, rankedPeer{Peer: p})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedPeer) int { return CompareSize(a.Peer, b.Peer) })
	inZone := make(map[string]int)
	for i := range ranked {
		zone := ranked[i].Zone
		ranked[i].place = inZone[zone]
		inZone[zone]++
	}
	slices.SortStableFunc(ranked, rankedPeer.comparePlace)
	var out []*Peer
	for _, r := range ranked[:min(len(ranked), relayCount(size))] {
		out = append(out, r.Peer)
	}
	return out
}

// rankedPeer is a node with what decides whether it should be a relay.
type rankedPeer struct {
	*Peer
	place int // among the nodes of its data centre, from 0
}

// CompareSize puts the node with the larger VM first, and orders equal ones alike at all nodes.
func CompareSize(a, b *Peer) int {
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
}

// comparePlace puts the leader first, then the first of each data centre.
func (r rankedPeer) comparePlace(other rankedPeer) int {
	return cmp.Or(cmp.Compare(min(other.LeaderEpoch, 1), min(r.LeaderEpoch, 1)), cmp.Compare(r.place, other.place))
}

// preferredRelays orders the relays for one node: those of its data centre first, and so that the nodes of a data
// centre spread over its relays.
func preferredRelays(self Identity, relays []*Peer) []*Peer {
	out := slices.Clone(relays)
	weight := func(p *Peer) uint64 { return xxhash.Sum64String(self.VM + "/" + p.VM) }
	slices.SortFunc(out, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)), cmp.Compare(weight(b), weight(a)))
	})
	return out
}

func distance(self Identity, p *Peer) int {
	if p.Zone == self.Zone {
		return 0
	}
	return 1
}
