package server

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// minLocalNodes is the number of nodes in a caller's own data centre below which nodes of other data centres are
	// returned as well.
	minLocalNodes = 2
	// minAdvertisedNodes is the minimum number of nodes of a data centre that callers are sent to, if it has that many.
	// When fewer nodes serve more requests each, they reuse connections, measure more of the load themselves and have less
	// to exchange. Callers pick among the nodes with equal probability, so small nodes limit how low the number can be:
	// with four nodes, two of them with a fifth of a core, a day with rolling restarts earned a tenth to a third less than
	// with eight. With eight, the loss of a third of a fleet leaves a data centre without any of them once in 6,500 times.
	minAdvertisedNodes = 8
	// coresPerRequest is the number of cores that one running request uses: 29 thousandths of a core on each of nine nodes
	// that together receive 147 requests a second of one second each.
	coresPerRequest = 0.0018
	// targetCPUFraction is the maximum fraction of a node's CPU that requests should use, so that a burst of several times
	// as many requests still fits.
	targetCPUFraction = 0.2
)

// addresses returns the addresses that callers of a data centre should connect to: its own nodes, and nodes of other data
// centres as well if it has few.
func (n *Server) addresses(dataCentre string) []string {
	now := clock.Now()
	nodes := n.gossip.Live(now)
	if n.ready() {
		status := gossip.Status{Serving: true, LeaderEpoch: n.controller.Leads(now)}
		nodes = append(nodes, &gossip.Peer{Identity: n.gossip.Self(), Status: status})
	}
	return addressesFor(dataCentre, nodes, n.runningRequests(now))
}

// runningRequests returns the number of requests that all nodes together are running at replica groups.
func (n *Server) runningRequests(now time.Time) int {
	return gossip.SumDemands(n.gossip.Others(now).Demands).Running + gossip.SumDemands(n.ownStatus(now).Demands).Running
}

// addressesFor is like addresses, for the given nodes and number of running requests.
func addressesFor(dataCentre string, nodes []*gossip.Peer, running int) []string {
	var near, far []*gossip.Peer
	dataCentres := make(map[string]bool)
	for _, p := range nodes {
		if p.Leaving || !p.Serving {
			continue
		}
		dataCentres[p.DataCentre] = true
		if p.DataCentre == dataCentre {
			near = append(near, p)
			continue
		}
		far = append(far, p)
	}
	cores := coresPerRequest / targetCPUFraction * float64(running) / float64(max(1, len(dataCentres)))
	if len(near) >= minLocalNodes {
		return selectAddresses(near, cores)
	}
	return append(selectAddresses(near, cores), selectAddresses(far, cores)...)
}

// selectAddresses returns the addresses of the largest nodes that together have the given number of cores, but of at least
// minAdvertisedNodes. The leader is left out if there are more nodes than that: a leader with a fifth of a core that
// received a twelfth of 515 requests a second took 0.4 s for an order instead of 0.09 s, so that groups were not formed in
// time and their formation started over.
func selectAddresses(nodes []*gossip.Peer, cores float64) []string {
	if len(nodes) > minAdvertisedNodes {
		nodes = slices.DeleteFunc(nodes, func(p *gossip.Peer) bool { return p.LeaderEpoch > 0 })
	}
	slices.SortFunc(nodes, gossip.CompareSize)
	var out []string
	for _, p := range nodes {
		if len(out) >= minAdvertisedNodes && cores <= 0 {
			break
		}
		out = append(out, p.CallerAddress)
		cores -= float64(p.Capacity) / capacityPerCore
	}
	return out
}
