package server

import (
	"fmt"
	"slices"
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

// crowdSeenBy returns what the registered nodes of a fleet tell its node i.
func crowdSeenBy(i, nodes, large int) *crowd {
	self := gossip.Identity{VM: fmt.Sprint("vm-", i), Capacity: 192}
	if i < large {
		self.Capacity = 800
	}
	others := registered(nodes, large)
	own := func(id gossip.Identity) bool { return id.VM == self.VM }
	listed := slices.ContainsFunc(others, own)
	return crowdOf(self, slices.DeleteFunc(others, own), listed)
}

// askers returns how many nodes of a fleet have asked the store so long after they started.
func askers(nodes, large int, after time.Duration) int {
	asked := 0
	for i := range nodes {
		n := &Server{settings: &settings.Gateway{}, startDraw: float64(i*7919%nodes) / float64(nodes)}
		n.crowd.Store(crowdSeenBy(i, nodes, large))
		if n.startPatience() < after {
			asked++
		}
	}
	return asked
}

// However many nodes start together, at most ten a second ask the store: they tell the others.
func TestNodesThatAskAtAStartDoNotGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{300, 1000, 3000} {
		got := askers(nodes, nodes/20, startPatience+time.Second)
		qt.Check(t, got >= 1 && got <= 10, qt.IsTrue, qt.Commentf("%d of %d", got, nodes))
		allTurns := turns*turnWait + smallerWait + time.Second
		got = askers(nodes, nodes/20, startPatience+allTurns)
		qt.Check(t, got > turns && got <= int(10*allTurns.Seconds()), qt.IsTrue, qt.Commentf("%d of %d", got, nodes))
	}
	qt.Check(t, askers(9, 0, startPatience+time.Second), qt.Equals, 9, qt.Commentf("a small fleet need not spread its questions"))
}

func TestLargeVMsAskFirst(t *testing.T) {
	small, large := crowdSeenBy(999, 1000, 50), crowdSeenBy(0, 1000, 50)
	qt.Check(t, small.larger, qt.IsTrue)
	qt.Check(t, large.larger, qt.IsFalse)
	qt.Check(t, large.alike < small.alike/8, qt.IsTrue, qt.Commentf("%d and %d", large.alike, small.alike))
}

// All large nodes of a fleet that starts would otherwise read the lease before they have heard who leads.
func TestLargeNodesOfAFleetThatStartsWantToLeadOneAfterTheOther(t *testing.T) {
	const nodes, large = 1000, 50
	wanting := func(after time.Duration) (count int) {
		for i := range large {
			n := &Server{}
			n.crowd.Store(crowdSeenBy(i, nodes, large))
			e := newElection(origin, cores)
			e.yields = n.yields
			if e.wants(origin.Add(after), true, true, false, nil) {
				count++
			}
		}
		return count
	}
	for turn := range turns {
		got := wanting(leadAfter + time.Duration(turn)*turnWait)
		qt.Check(t, got <= turn+1, qt.IsTrue, qt.Commentf("turn %d: %d want to lead", turn, got))
	}
	qt.Check(t, wanting(leadAfter), qt.Equals, 1)
	qt.Check(t, wanting(leadAfter+turns*turnWait), qt.Equals, large, qt.Commentf("none of those that take turns is there"))
}

// A node that has met few others takes itself for a relay. In a large fleet that starts it is not to watch the store for that.
func TestNodeThatHasNotMetItsLargeFleetIsNoRelay(t *testing.T) {
	large, small := crowdSeenBy(999, 1000, 50), crowdSeenBy(0, 9, 0)
	qt.Check(t, large.relays(gossip.SmallFleet, time.Second), qt.IsFalse)
	qt.Check(t, large.relays(gossip.SmallFleet+1, time.Second), qt.IsTrue)
	qt.Check(t, large.relays(gossip.SmallFleet, metWithin+time.Second), qt.IsTrue, qt.Commentf("the others are gone"))
	qt.Check(t, small.relays(8, time.Second), qt.IsTrue)
	var unknown *crowd
	qt.Check(t, unknown.relays(1, time.Second), qt.IsTrue, qt.Commentf("the store has not said who is registered"))
}
