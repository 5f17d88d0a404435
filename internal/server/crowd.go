package server

import (
	"slices"

	"moorrun.dev/moorrun/internal/gossip"
)

// crowd is what the registered nodes tell of the size of the fleet.
type crowd struct {
	alike  int  // other nodes with a VM as large as this one's or larger, if some are, else all
	larger bool // the fleet is no small one, and others have larger VMs
}

// crowdOf returns what these registered nodes tell a node of that capacity.
func crowdOf(capacity uint32, registered []gossip.Identity) *crowd {
	all := estimate(registered)
	if all <= gossip.SmallFleet {
		return &crowd{alike: all}
	}
	largest := capacity
	for _, id := range registered {
		largest = max(largest, id.Capacity)
	}
	if capacity < largest {
		return &crowd{alike: all, larger: true}
	}
	smaller := func(id gossip.Identity) bool { return id.Capacity < capacity }
	return &crowd{alike: estimate(slices.DeleteFunc(slices.Clone(registered), smaller))}
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
