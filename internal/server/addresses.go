package server

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/retry"
)

const (
	// enoughNear is how many nodes of a caller's own data centre are enough.
	enoughNear = 2
	// leastUsed is how many nodes of a data centre callers are sent to at least, if it has them. Fewer nodes that each
	// have more requests use connections again, know more of the loads first-hand and have less to tell each other. Callers
	// take each with the same chance, so that small ones bound how few there can be: with four, of which two have a fifth
	// of a core, a day with rolling restarts earned a tenth to a third less than with eight. With eight, the loss of a
	// third of a fleet leaves a data centre without any once in 6,500 times.
	leastUsed = 8
	// coresOfRequest is the part of a core that one running request takes, measured as 29 thousandths of a core on each
	// of nine nodes with 147 requests a second that take a second each.
	coresOfRequest = 0.0018
	// usedPart is how much of their processors requests should take from nodes at most, so that a burst of several times
	// as many still finds room.
	usedPart = 0.2
)

// addresses returns where callers of a data centre should connect: to its own nodes, and to others' as well if
// those are few.
func (n *Server) addresses(dataCentre string) []string {
	now := clock.Now()
	nodes := n.gossip.Live(now)
	if n.ready() {
		status := gossip.Status{Serving: true, LeaderEpoch: n.controller.Leads(now)}
		nodes = append(nodes, &gossip.Peer{Identity: n.gossip.Self(), Status: status})
	}
	return addressesFor(dataCentre, nodes, n.running(now))
}

// sharers returns how many nodes there are, and how many of them have requests.
func (n *Server) sharers() retry.Nodes {
	now := clock.Now()
	out := retry.Nodes{All: 1 + n.gossip.Known(now)}
	if n.traffic.settled(now) {
		out.Busy = 1 + n.gossip.Others(now).Busy
	}
	return out
}

// running returns how many requests all nodes have at replica groups.
func (n *Server) running(now time.Time) int {
	return gossip.Sum(n.gossip.Others(now).Demands).Running + gossip.Sum(n.ownStatus(now).Demands).Running
}

// addressesFor is addresses for a fleet of these nodes with that many requests running.
func addressesFor(dataCentre string, nodes []*gossip.Peer, running int) []string {
	var near, far []*gossip.Peer
	zones := make(map[string]bool)
	for _, p := range nodes {
		if p.Leaving || !p.Serving {
			continue
		}
		zones[p.Zone] = true
		if p.Zone == dataCentre {
			near = append(near, p)
			continue
		}
		far = append(far, p)
	}
	cores := coresOfRequest / usedPart * float64(running) / float64(max(1, len(zones)))
	if len(near) >= enoughNear {
		return used(near, cores)
	}
	return append(used(near, cores), used(far, cores)...)
}

// used returns the addresses of the largest nodes that together have so many cores, and of some at least. The leader is
// left out where there are more: one of a fifth of a core that had a twelfth of 515 requests a second took 0.4 s for an
// order instead of 0.09, so that groups were not formed in time and were begun anew.
func used(nodes []*gossip.Peer, cores float64) []string {
	if len(nodes) > leastUsed {
		nodes = slices.DeleteFunc(nodes, func(p *gossip.Peer) bool { return p.LeaderEpoch > 0 })
	}
	slices.SortFunc(nodes, gossip.CompareSize)
	var out []string
	for _, p := range nodes {
		if len(out) >= leastUsed && cores <= 0 {
			break
		}
		out = append(out, p.CallerAddress)
		cores -= float64(p.Capacity) / capacityUnit
	}
	return out
}
