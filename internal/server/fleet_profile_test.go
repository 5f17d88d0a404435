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

// registeredNodes returns the registered nodes of a fleet in which the first nodes have large VMs: all nodes of a small fleet,
// and the registrars of a large one.
func registeredNodes(nodes, large int) []gossip.Identity {
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

// profileSeenBy returns the fleet profile of node i of a fleet.
func profileSeenBy(i, nodes, large int) *fleetProfile {
	self := gossip.Identity{VM: fmt.Sprint("vm-", i), Capacity: 192}
	if i < large {
		self.Capacity = 800
	}
	others := registeredNodes(nodes, large)
	own := func(id gossip.Identity) bool { return id.VM == self.VM }
	listed := slices.ContainsFunc(others, own)
	return newFleetProfile(self, slices.DeleteFunc(others, own), listed)
}

// countQueryingNodes returns how many nodes of a fleet have queried the store the given time after they started.
func countQueryingNodes(nodes, large int, after time.Duration) int {
	querying := 0
	for i := range nodes {
		n := &Server{settings: &settings.Gateway{}, startJitter: float64(i*7919%nodes) / float64(nodes)}
		n.fleetProfile.Store(profileSeenBy(i, nodes, large))
		if n.startDelay() < after {
			querying++
		}
	}
	return querying
}

// At most ten nodes a second query the store, however many start together, because these pass the copy on to the others.
func TestNodesThatQueryTheStoreAtAStartDoNotGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{300, 1000, 3000} {
		got := countQueryingNodes(nodes, nodes/20, baseStartDelay+time.Second)
		qt.Check(t, got >= 1 && got <= 10, qt.IsTrue, qt.Commentf("%d of %d nodes query within 1 s", got, nodes))
		allTurns := maxTurns*turnInterval + smallerNodeDelay + time.Second
		got = countQueryingNodes(nodes, nodes/20, baseStartDelay+allTurns)
		qt.Check(t, got > maxTurns && got <= int(10*allTurns.Seconds()), qt.IsTrue, qt.Commentf("%d of %d nodes query until the turns are over", got, nodes))
	}
	qt.Check(t, countQueryingNodes(9, 0, baseStartDelay+time.Second), qt.Equals, 9, qt.Commentf("a small fleet does not spread its queries"))
}

func TestNodesOnLargeVMsQueryTheStoreFirst(t *testing.T) {
	small, large := profileSeenBy(999, 1000, 50), profileSeenBy(0, 1000, 50)
	qt.Check(t, small.hasLarger, qt.IsTrue)
	qt.Check(t, large.hasLarger, qt.IsFalse)
	qt.Check(t, large.cohort < small.cohort/8, qt.IsTrue, qt.Commentf("cohorts of %d and %d nodes", large.cohort, small.cohort))
}

// Guards against all large nodes of a starting fleet reading the lease before they have heard from the leader.
func TestLargeNodesOfAStartingFleetTryToLeadInTurn(t *testing.T) {
	const nodes, large = 1000, 50
	countCandidates := func(after time.Duration) (count int) {
		for i := range large {
			n := &Server{}
			n.fleetProfile.Store(profileSeenBy(i, nodes, large))
			e := newElection(origin, defaultCapacity)
			e.delay = n.electionDelay
			if e.shouldHoldLease(origin.Add(after), true, true, false, nil) {
				count++
			}
		}
		return count
	}
	for turn := range maxTurns {
		got := countCandidates(minUptimeToLead + time.Duration(turn)*turnInterval)
		qt.Check(t, got <= turn+1, qt.IsTrue, qt.Commentf("turn %d: %d try to lead", turn, got))
	}
	qt.Check(t, countCandidates(minUptimeToLead), qt.Equals, 1)
	qt.Check(t, countCandidates(minUptimeToLead+maxTurns*turnInterval), qt.Equals, large, qt.Commentf("none of the nodes that take turns has started"))
}

// A node that knows few others considers itself a relay. In a starting large fleet it must not watch the store because of that.
func TestNodeThatHasNotDiscoveredItsLargeFleetIsNoRelay(t *testing.T) {
	large, small := profileSeenBy(999, 1000, 50), profileSeenBy(0, 9, 0)
	qt.Check(t, large.confirmsRelay(gossip.SmallFleet, time.Second), qt.IsFalse)
	qt.Check(t, large.confirmsRelay(gossip.SmallFleet+1, time.Second), qt.IsTrue)
	qt.Check(t, large.confirmsRelay(gossip.SmallFleet, discoveryTime+time.Second), qt.IsTrue, qt.Commentf("the other nodes have disappeared"))
	qt.Check(t, small.confirmsRelay(8, time.Second), qt.IsTrue)
	var unknown *fleetProfile
	qt.Check(t, unknown.confirmsRelay(1, time.Second), qt.IsTrue, qt.Commentf("the registered nodes have not been listed yet"))
}

// Guards against a small fleet of which some nodes are registrars by chance and that counts as a large one.
func TestSmallFleetIsCountedExactly(t *testing.T) {
	for registrars := range 3 {
		var registered []gossip.Identity
		for i := 0; len(registered) < 8; i++ {
			id := gossip.Identity{VM: fmt.Sprint("vm-", i)}
			if isRegistrar(id.VM) == (len(registered) < registrars) {
				registered = append(registered, id)
			}
		}
		qt.Check(t, sizeFromRegistered(registered), qt.Equals, 8, qt.Commentf("%d registrars", registrars))
	}
	large := registeredNodes(300, 0)
	got := sizeFromRegistered(large)
	qt.Check(t, got > 150 && got < 600, qt.IsTrue, qt.Commentf("%d of 300 nodes", got))
}
