package server

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
)

// nodeOf is a serving node of a data centre, with a capacity in thousandths of a core.
func nodeOf(zone string, i int, capacity uint32) *gossip.Peer {
	id := fmt.Sprintf("%s-%d", zone, i)
	return &gossip.Peer{Identity: gossip.Identity{VM: id, Zone: zone, CallerAddress: id, Capacity: capacity}, Status: gossip.Status{Serving: true}}
}

// largeFleet is two data centres of three large and twenty small nodes each.
func largeFleet() []*gossip.Peer {
	var out []*gossip.Peer
	for _, zone := range []string{"a", "b"} {
		for i := range 23 {
			capacity := uint32(200)
			if i < 3 {
				capacity = 800
			}
			out = append(out, nodeOf(zone, i, capacity))
		}
	}
	return out
}

func TestCallersOfALargeFleetUseFewNodes(t *testing.T) {
	few := addressesFor("a", largeFleet(), 0)
	qt.Check(t, few, qt.HasLen, leastUsed)
	for _, large := range []string{"a-0", "a-1", "a-2"} {
		qt.Check(t, few, qt.Contains, large)
	}
	qt.Check(t, addressesFor("a", largeFleet(), 300), qt.DeepEquals, few, qt.Commentf("1.35 cores of the 3.4 that they have"))
	// Half of 1,000 requests want 4.5 cores: three nodes of 0.8 and eleven of 0.2.
	more := addressesFor("a", largeFleet(), 1000)
	qt.Check(t, more, qt.HasLen, 14)
	qt.Check(t, more[:leastUsed], qt.DeepEquals, few, qt.Commentf("the same ones come first"))
}

func TestCallersUseAllNodesOfASmallFleet(t *testing.T) {
	nodes := []*gossip.Peer{nodeOf("a", 0, 400), nodeOf("a", 1, 400), nodeOf("b", 0, 400)}
	qt.Check(t, addressesFor("a", nodes, 0), qt.HasLen, 2)
	qt.Check(t, addressesFor("b", nodes, 0), qt.HasLen, 3, qt.Commentf("its only node and those of the others"))
	nodes[0].Leaving = true
	nodes[1].Serving = false
	qt.Check(t, addressesFor("a", nodes, 0), qt.DeepEquals, []string{"b-0"})
}

func TestCallersOfALargeFleetAreNotSentToItsLeader(t *testing.T) {
	nodes := largeFleet()
	nodes[0].LeaderEpoch = 7
	few := addressesFor("a", nodes, 0)
	qt.Check(t, few, qt.HasLen, leastUsed)
	qt.Check(t, few, qt.Not(qt.Contains), "a-0")
	small := []*gossip.Peer{nodeOf("a", 0, 400), nodeOf("a", 1, 400), nodeOf("a", 2, 400)}
	small[0].LeaderEpoch = 7
	qt.Check(t, addressesFor("a", small, 0), qt.HasLen, 3, qt.Commentf("there it is a third of the data centre"))
}
