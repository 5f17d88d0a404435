package server

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
)

// servingNode returns a serving node of a data centre with a capacity in thousandths of a core.
func servingNode(dataCentre string, i int, capacity uint32) *gossip.Peer {
	id := fmt.Sprintf("%s-%d", dataCentre, i)
	return &gossip.Peer{Identity: gossip.Identity{VM: id, DataCentre: dataCentre, CallerAddress: id, Capacity: capacity}, Status: gossip.Status{Serving: true}}
}

// largeFleet returns the nodes of two data centres with three large and twenty small nodes each.
func largeFleet() []*gossip.Peer {
	var out []*gossip.Peer
	for _, dataCentre := range []string{"a", "b"} {
		for i := range 23 {
			capacity := uint32(200)
			if i < 3 {
				capacity = 800
			}
			out = append(out, servingNode(dataCentre, i, capacity))
		}
	}
	return out
}

func TestCallersOfALargeFleetUseFewNodes(t *testing.T) {
	selected := addressesFor("a", largeFleet(), 0)
	qt.Check(t, selected, qt.HasLen, minAdvertisedNodes)
	for _, large := range []string{"a-0", "a-1", "a-2"} {
		qt.Check(t, selected, qt.Contains, large)
	}
	qt.Check(t, addressesFor("a", largeFleet(), 300), qt.DeepEquals, selected, qt.Commentf("300 requests need 1.35 of the 3.4 cores that these nodes have"))
	// Half of 1,000 requests need 4.5 cores: three nodes of 0.8 and eleven of 0.2.
	more := addressesFor("a", largeFleet(), 1000)
	qt.Check(t, more, qt.HasLen, 14)
	qt.Check(t, more[:minAdvertisedNodes], qt.DeepEquals, selected, qt.Commentf("the same nodes come first"))
}

func TestCallersUseAllNodesOfASmallFleet(t *testing.T) {
	nodes := []*gossip.Peer{servingNode("a", 0, 400), servingNode("a", 1, 400), servingNode("b", 0, 400)}
	qt.Check(t, addressesFor("a", nodes, 0), qt.HasLen, 2)
	qt.Check(t, addressesFor("b", nodes, 0), qt.HasLen, 3, qt.Commentf("the data centre's only node and those of the other"))
	nodes[0].Leaving = true
	nodes[1].Serving = false
	qt.Check(t, addressesFor("a", nodes, 0), qt.DeepEquals, []string{"b-0"})
}

func TestCallersOfALargeFleetAreNotSentToItsLeader(t *testing.T) {
	nodes := largeFleet()
	nodes[0].LeaderEpoch = 7
	few := addressesFor("a", nodes, 0)
	qt.Check(t, few, qt.HasLen, minAdvertisedNodes)
	qt.Check(t, few, qt.Not(qt.Contains), "a-0")
	small := []*gossip.Peer{servingNode("a", 0, 400), servingNode("a", 1, 400), servingNode("a", 2, 400)}
	small[0].LeaderEpoch = 7
	qt.Check(t, addressesFor("a", small, 0), qt.HasLen, 3, qt.Commentf("in a small fleet the leader is a third of the data centre"))
}
