package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// allRelay is up to how many nodes each of them hears all others itself.
	allRelay = 12
	// leastRelays is how many relays a larger fleet has at least.
	leastRelays = 6
)

// relayCount returns how many relays a fleet has: with the root of its size neither a relay nor the exchange between
// relays grows as the fleet does.
func relayCount(nodes int) int {
	if nodes <= allRelay {
		return nodes
	}
	return max(leastRelays, int(math.Ceil(math.Sqrt(float64(nodes)))))
}

// relaysOf returns which of the nodes should be relays, the largest first. Nodes that see different parts of the
// fleet may disagree: whoever is taken for a relay acts as one.
func relaysOf(nodes []*Peer) []*Peer {
	out := slices.DeleteFunc(slices.Clone(nodes), func(p *Peer) bool { return p.Leaving })
	slices.SortFunc(out, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	return out[:min(len(out), relayCount(len(nodes)))]
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
