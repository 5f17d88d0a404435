package server

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/settings"
)

// registered returns the nodes that register of a fleet with some large VMs: all of a small one, the registrars of others.
func registered(nodes, large int) []gossip.Identity {
	var out []gossip.Identity
	for i := range nodes {
		id := gossip.Identity{VM: fmt.Sprint("vm-", i), Capacity: 192}
		if i < large {
			id.Capacity = 800
		}
		if nodes <= gossip.SmallFleet || isRegistrar(id.VM) {
			out = append(out, id)
		}
	}
	return out
}

// askers returns how many nodes of a fleet have asked the store so long after they started.
func askers(nodes, large int, after time.Duration) int {
	asked := 0
	for i := range nodes {
		n := &Server{settings: &settings.Gateway{}, startDraw: float64(i*7919%nodes) / float64(nodes)}
		capacity := uint32(192)
		if i < large {
			capacity = 800
		}
		n.crowd.Store(crowdOf(capacity, registered(nodes, large)))
		if n.startPatience() < after {
			asked++
		}
	}
	return asked
}

// However many nodes start together, some ten ask the store in the first second: they tell the others.
func TestNodesThatAskAtAStartDoNotGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{100, 300, 1000, 3000} {
		got := askers(nodes, nodes/20, startPatience+time.Second)
		qt.Check(t, got >= 1 && got <= 35, qt.IsTrue, qt.Commentf("%d of %d", got, nodes))
	}
	qt.Check(t, askers(9, 0, startPatience+time.Second), qt.Equals, 9, qt.Commentf("a small fleet need not spread its questions"))
}

func TestLargeVMsAskFirst(t *testing.T) {
	small, large := crowdOf(192, registered(1000, 50)), crowdOf(800, registered(1000, 50))
	qt.Check(t, small.larger, qt.IsTrue)
	qt.Check(t, large.larger, qt.IsFalse)
	qt.Check(t, large.alike < small.alike/8, qt.IsTrue, qt.Commentf("%d and %d", large.alike, small.alike))
}
