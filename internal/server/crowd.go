package server

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

// crowd is what the registered nodes tell of the size of the fleet.
type crowd struct {
	few    bool // the fleet is a small one, in which nobody waits for others
	alike  int  // other nodes with a VM as large as this one's or larger, if some are, else all
	larger bool // others have larger VMs
	// sooner is how many nodes go before this one where one is enough: of the registered nodes with the largest VMs the first
	// few take turns, and the others come after them.
	sooner int
	turn   bool // this node is one of those that take turns
}

// turns is how many nodes take turns. Each dead one among them costs a fleet that starts turnWait, and six nodes of several data
// centres are hardly ever dead at once. After them chance decides.
const turns = 6

// crowdOf returns what these registered nodes tell a node; listed says that it is registered itself.
func crowdOf(self gossip.Identity, registered []gossip.Identity, listed bool) *crowd {
	all := estimate(registered)
	if all <= gossip.SmallFleet {
		return &crowd{few: true}
	}
	largest := self.Capacity
	for _, id := range registered {
		largest = max(largest, id.Capacity)
	}
	first := slices.DeleteFunc(slices.Clone(registered), func(id gossip.Identity) bool { return id.Capacity < largest })
	sooner := min(len(first), turns)
	if self.Capacity < largest {
		return &crowd{alike: all, larger: true, sooner: sooner}
	}
	c := &crowd{alike: estimate(first), sooner: sooner}
	if rank := before(self, first); listed && rank < turns {
		c.sooner, c.turn = rank, true
	}
	return c
}

// turnAfter returns how long the turns of the nodes last that go before this one.
func (c *crowd) turnAfter() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.sooner) * turnWait
}

// metWithin is within what the nodes of a large fleet that starts have met: on a fifth of a core some of 300 had heard of fewer
// than a small fleet after five seconds.
const metWithin = 10 * time.Second

// relays reports whether a node that takes itself for a relay is one, as far as it can tell: each node does that knows no more
// nodes than a small fleet has. One that has just started with a large fleet and has heard of so few has not met it yet. The
// proofs that reach it then are old, and of 300 nodes that started nineteen listed everything for it.
func (c *crowd) relays(live int, ran time.Duration) bool {
	return c == nil || c.few || live > gossip.SmallFleet || ran > metWithin
}

// before returns how many of the nodes go before that one where one is enough.
func before(self gossip.Identity, nodes []gossip.Identity) int {
	count := 0
	for _, id := range nodes {
		if gossip.CompareSize(&gossip.Peer{Identity: id}, &gossip.Peer{Identity: self}) < 0 {
			count++
		}
	}
	return count
}

// estimate returns how many nodes there are of a kind of which these are registered. In a large fleet only one in
// registrarOneIn registers, in a small one nearly every node.
func estimate(registered []gossip.Identity) int {
	registrars := 0
	for _, id := range registered {
		if isRegistrar(id.VM) {
			registrars++
		}
	}
	return max(len(registered), registrarOneIn*registrars)
}
