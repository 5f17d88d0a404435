package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/reach"
	"moorrun.dev/moorrun/internal/tunnel"
)

// peerDialTimeout bounds the connection to another node that is to connect to an endpoint.
const peerDialTimeout = 300 * time.Millisecond

// setUpReach creates the parts that connect to engines and endpoints, for this node and for others.
func (n *Node) setUpReach(scope tally.Scope) {
	ends := tunnel.NewReporter(scope, n.logger)
	n.monitor = &reach.Monitor{Dial: n.dialEndpoint, Sample: n.sampleEndpoints, OnChange: n.logIsolation}
	n.dialer = &reach.Dialer{
		Monitor: n.monitor, DialPeer: dialPeer, Peers: n.peersToTunnelThrough, Usable: n.mayTunnelThrough,
		OnDetour: func() {}, OnDetourEnd: ends.DetourEnded, OnBroken: n.calls.Drop,
	}
	n.tunnels = &tunnel.Server{Dial: n.dialEndpoint, ReachesOthers: n.monitor.ReachesOthers, OnTunnel: func() {}, OnEnd: ends.RelayEnded, OnRejected: ends.Rejected, Leaving: n.stopping.Load}
	n.calls.DialEndpoint = n.dialer.Dial
}

// dialEndpoint connects to an engine or endpoint without the help of other nodes.
func (n *Node) dialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	if n.DialEndpoint != nil {
		return n.DialEndpoint(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: peerDialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// sampleEndpoints returns up to count addresses of engines other than the given one, chosen at random.
func (n *Node) sampleEndpoints(except string, count int) []string {
	c := n.configTracker.Current()
	if c == nil {
		return nil
	}
	var addresses []string
	for _, d := range c.Domains() {
		for _, vm := range d.VMs {
			if vm.Address != except {
				addresses = append(addresses, vm.Address)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// peersToTunnelThrough returns the peer addresses of up to count other nodes, chosen at random.
func (n *Node) peersToTunnelThrough(count int) []string {
	var out []string
	now := clock.Now()
	self := n.fleet.Members.Self(now)
	live := n.fleet.Members.Live(now)
	for _, i := range rand.Perm(len(live)) {
		if len(out) == count {
			break
		}
		if m := live[i]; m.VM != self.VM && !m.Draining {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// mayTunnelThrough reports whether connections to endpoints may use the node at the given peer address.
func (n *Node) mayTunnelThrough(address string) bool {
	for _, m := range n.fleet.Members.Live(clock.Now()) {
		if m.PeerAddress == address {
			return !m.Draining
		}
	}
	return false
}

func (n *Node) logIsolation(isolated bool) {
	if isolated {
		_ = level.Warn(n.logger).Log("msg", "no engine can be reached from this node")
		return
	}
	_ = level.Info(n.logger).Log("msg", "engines can be reached from this node again")
}
