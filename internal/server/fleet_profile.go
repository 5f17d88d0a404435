package server

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

// fleetProfile is what a node derives from the list of registered nodes: the size of the fleet, and this node's place in
// the order in which nodes query the store and stand for leader.
type fleetProfile struct {
	nodes int  // number of nodes in the fleet, including this one, as far as the registered ones tell
	small bool // the fleet is small, and its nodes do not wait for each other
	// cohort is the estimated number of other nodes that may query the store in the same period: those on VMs of the largest
	// size if this node is on one too, else all.
	cohort    int
	hasLarger bool // other nodes have larger VMs
	// turnsBefore is the number of nodes that act before this one in tasks for which one node is enough. The first maxTurns
	// of the registered nodes with the largest VMs take turns, and all other nodes come after them.
	turnsBefore int
	hasTurn     bool // this node is one of those that take turns
}

// maxTurns is the number of nodes that take turns. Each dead node among them delays a starting fleet by turnInterval, and six
// nodes of several data centres are hardly ever dead at once. The nodes after them wait for a random time.
const maxTurns = 6

// newFleetProfile returns the profile of the fleet for the node self, given the other registered nodes; listed is set
// if self is registered too.
func newFleetProfile(self gossip.Identity, registered []gossip.Identity, listed bool) *fleetProfile {
	all := estimateNodes(registered)
	if all <= gossip.SmallFleet {
		return &fleetProfile{nodes: 1 + sizeFromRegistered(registered), small: true}
	}
	largest := self.Capacity
	for _, id := range registered {
		largest = max(largest, id.Capacity)
	}
	largestNodes := slices.DeleteFunc(slices.Clone(registered), func(id gossip.Identity) bool { return id.Capacity < largest })
	turnCount := min(len(largestNodes), maxTurns)
	if self.Capacity < largest {
		return &fleetProfile{nodes: 1 + sizeFromRegistered(registered), cohort: all, hasLarger: true, turnsBefore: turnCount}
	}
	c := &fleetProfile{nodes: 1 + sizeFromRegistered(registered), cohort: estimateNodes(largestNodes), turnsBefore: turnCount}
	if rank := countBefore(self, largestNodes); listed && rank < maxTurns {
		c.turnsBefore, c.hasTurn = rank, true
	}
	return c
}

// turnDelay returns the total duration of the turns before this node's.
func (c *fleetProfile) turnDelay() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.turnsBefore) * turnInterval
}

// discoveryTime is the time within which the nodes of a starting large fleet discover each other. With a fifth of a core, some
// of 300 nodes had heard of fewer nodes than a small fleet has after five seconds.
const discoveryTime = 10 * time.Second

// confirmsRelay reports whether a node that considers itself a relay probably is one, given the number of live nodes it knows
// and its uptime. A node that knows no more nodes than a small fleet has always considers itself a relay, but in a large fleet
// it may just not have discovered the others yet. The proofs of currency that reach it then are old, and because of that
// nineteen of 300 starting nodes listed everything in the store.
func (c *fleetProfile) confirmsRelay(live int, ran time.Duration) bool {
	return c == nil || c.small || live > gossip.SmallFleet || ran > discoveryTime
}

// countBefore returns how many of the nodes act before self in tasks for which one node is enough.
func countBefore(self gossip.Identity, nodes []gossip.Identity) int {
	count := 0
	for _, id := range nodes {
		if gossip.CompareSize(&gossip.Peer{Identity: id}, &gossip.Peer{Identity: self}) < 0 {
			count++
		}
	}
	return count
}

// estimateNodes estimates the number of nodes from the registered ones. In a large fleet only one in nodesPerRegistrar
// registers, in a small one nearly every node.
func estimateNodes(registered []gossip.Identity) int {
	registrars := 0
	for _, id := range registered {
		if isRegistrar(id.VM) {
			registrars++
		}
	}
	return max(len(registered), nodesPerRegistrar*registrars)
}

// sizeFromRegistered returns the number of registered nodes, or in a large fleet the estimate from its registrars. Two of nine nodes
// being registrars by chance does not make a fleet of sixteen.
func sizeFromRegistered(registered []gossip.Identity) int {
	if estimate := estimateNodes(registered); estimate > 2*len(registered) {
		return estimate
	}
	return len(registered)
}
