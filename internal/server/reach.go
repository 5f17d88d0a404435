package server

import (
	"math/rand/v2"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/reach"
	"moorrun.dev/moorrun/internal/tunnel"
)

// setUpReach creates the parts that connect to endpoints, for this node and for others.
func (n *Server) setUpReach() {
	ends := tunnel.NewReporter(n.scope, n.logger)
	detours, tunnels := n.scope.Counter("detours"), n.scope.Counter("tunnels")
	n.reach = &reach.Monitor{Dial: n.transport.Endpoints, Sample: n.sampleEndpoints, OnChange: n.isolationChanged}
	n.dialer = &reach.Dialer{
		Monitor: n.reach, DialPeer: reach.Dial(n.transport.Dial), Peers: n.nodesThatReachEndpoints, Usable: n.mayTunnelThrough,
		OnDetour: func() { detours.Inc(1) }, OnDetourEnd: ends.DetourEnded, OnBroken: n.pathBroken,
	}
	n.tunnels = &tunnel.Server{
		Dial: n.transport.Endpoints, ReachesOthers: n.reach.ReachesOthers, OnTunnel: func() { tunnels.Inc(1) }, OnEnd: ends.RelayEnded,
		OnRejected: ends.Rejected, Leaving: n.leaving,
	}
	n.calls.DialEndpoint = n.dialer.Dial
}

// sampleEndpoints returns the addresses of up to count listed endpoints, chosen at random, other than the given address.
func (n *Server) sampleEndpoints(except string, count int) []string {
	var out []string
	for _, e := range n.directory.Read().Endpoints { // in random order
		if len(out) == count {
			break
		}
		if e.Address != except && !e.Draining {
			out = append(out, e.Address)
		}
	}
	return out
}

// nodesThatReachEndpoints returns the peer addresses of up to count other nodes, chosen at random, that have not lost their paths to
// endpoints.
func (n *Server) nodesThatReachEndpoints(count int) []string {
	var out []string
	live := n.gossip.Live(clock.Now())
	for _, i := range rand.Perm(len(live)) {
		if len(out) == count {
			break
		}
		if p := live[i]; mayTunnel(p) {
			out = append(out, p.PeerAddress)
		}
	}
	return out
}

func mayTunnel(p *gossip.Peer) bool { return !p.Leaving && !p.Isolated }

// mayTunnelThrough reports whether connections to endpoints may use the node at the given peer address.
func (n *Server) mayTunnelThrough(address string) bool {
	for _, p := range n.gossip.Live(clock.Now()) {
		if p.PeerAddress == address {
			return mayTunnel(p)
		}
	}
	return false
}

// pathBroken closes the idle connections to an endpoint whose direct path is broken. They may have stopped responding, and each
// would cost a request its timeout.
func (n *Server) pathBroken(address string) {
	n.calls.Drop(address)
	_ = level.Info(n.logger).Log("msg", "endpoint is reached through another node", "address", address)
}

// isolationChanged logs that this node has lost its path to all endpoints, or has it back, and tells the other nodes.
func (n *Server) isolationChanged(isolated bool) {
	n.gossip.Kick()
	endpoints := n.directory.Read().Endpoints
	if !isolated {
		_ = level.Info(n.logger).Log("msg", "endpoints can be reached from this node again", "endpoints", len(endpoints))
		return
	}
	_ = level.Warn(n.logger).Log("msg", "no endpoint can be reached from this node", "endpoints", len(endpoints))
	for _, e := range endpoints {
		n.calls.Drop(e.Address)
	}
}
