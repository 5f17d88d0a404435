package server

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/window"
)

// fleetSizeMemory is how long a number of nodes is remembered. Nodes that are silent for less may be cut off and still serve
// callers.
const fleetSizeMemory = 10 * time.Minute

// nodeCountsTTL is the maximum age of the cached node counts, which each request needs and which take time in proportion to the
// fleet.
const nodeCountsTTL = 100 * time.Millisecond

// fleetSize is the number of nodes in the fleet. It is unknown until the registered nodes have been listed or a relay has
// reported it, and falls only after fleetSizeMemory.
type fleetSize struct {
	mu    sync.Mutex
	known bool
	sizes *window.Max[int]
}

// newFleetSize returns an unknown fleetSize. Times passed to its methods must not be before start.
func newFleetSize(start time.Time) *fleetSize {
	return &fleetSize{sizes: window.NewMax[int](fleetSizeMemory, start)}
}

// observe records that the fleet has at least the given number of nodes; complete is set if few may be missing.
func (f *fleetSize) observe(nodes int, complete bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes.Add(nodes, now)
	f.known = f.known || complete
}

// value returns the number of nodes, or 0 if it is unknown.
func (f *fleetSize) value(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return 0
	}
	return f.sizes.Value(now)
}

// cachedNodeCounts are node counts and the time as of which they hold.
type cachedNodeCounts struct {
	retry.Nodes
	at time.Time
}

// nodeCounts returns the numbers of nodes that share the slack of the limits on retries, at most nodeCountsTTL old.
func (n *Server) nodeCounts() retry.Nodes {
	now := clock.Now()
	if c := n.cachedNodeCounts.Load(); c != nil && now.Sub(c.at) < nodeCountsTTL {
		return c.Nodes
	}
	c := &cachedNodeCounts{n.countNodes(now), now}
	n.cachedNodeCounts.Store(c)
	return c.Nodes
}

// countNodes determines the node counts. In a small fleet all nodes count as busy, so that they share the slack alike whether
// callers use them or not.
func (n *Server) countNodes(now time.Time) retry.Nodes {
	n.fleetSize.observe(1+n.gossip.KnownCount(now), n.gossip.HearsRelay(now), now)
	out := retry.Nodes{All: n.fleetSize.value(now)}
	switch {
	case out.All <= gossip.SmallFleet:
		out.Busy = out.All
	case n.traffic.settled(now):
		out.Busy = n.gossip.BusyCount(now)
	}
	return out
}
