package server

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
)

const (
	// nodesPerRegistrar is the average number of nodes for each registrar, a node that registers without listing the others
	// first. Nodes that know a few others discover the rest by gossip, so a fleet of 295 makes some 70 calls at full price
	// instead of 590.
	nodesPerRegistrar = 8
	// minRegistered is the number of other registered nodes that makes it unnecessary for a node to register, unless it is a
	// registrar.
	minRegistered = 6
	// maxRegisterTries is how many times a node that is no registrar lists the registered nodes before it registers itself. A
	// list may be some tenths of a second old, and in a small fleet it never reaches minRegistered.
	maxRegisterTries = 3
	// baseStartDelay is how long a new process waits for heartbeats of other nodes before it queries the store. Live nodes send
	// one every 100 ms to the address that the previous process had.
	baseStartDelay = 150 * time.Millisecond
	// firstListDelay is how long a node waits at the first start of a fleet before it lists the registered nodes: registrars
	// appear in lists some tenths of a second late, and each list is a call that is charged.
	firstListDelay = 1200 * time.Millisecond
	// firstStartDelay replaces baseStartDelay at the first start of a fleet: within it nodes find the registrars and hear from
	// other nodes.
	firstStartDelay = 2 * time.Second
	// turnInterval is added to the start delay for each node whose turn comes before this node's: within it most of a fleet of
	// 300 receives the first node's copy. After all nodes of a fleet of 300 had been killed, they made 258 calls without turns
	// and 91 with turns until they routed again, in the same time.
	turnInterval = 400 * time.Millisecond
	// startSpreadPerNode is added to the upper limit of the random start delay for each node of a large fleet that would query
	// the store in the same period. Thus ten nodes a second query it, whatever the size of the fleet, until those that have
	// been answered have passed the copy on. Each query takes some ten pages.
	startSpreadPerNode = 100 * time.Millisecond
	// smallerNodeDelay is added to the start delay of a node if others have larger VMs: the first nodes with a copy pass it on
	// to all others, which takes seconds over a link of 20 Mbit/s.
	smallerNodeDelay = time.Second
	// relaySettleTime is the time within which the nodes of a starting fleet discover each other and agree on the relays.
	relaySettleTime = 3 * time.Second
	// registerRetryMin and registerRetryMax bound the exponential backoff between attempts to register.
	registerRetryMin = 250 * time.Millisecond
	registerRetryMax = time.Second
)

// registration is the entry that a node writes to the store so that others find it.
type registration struct {
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Capacity    uint32 `json:"capacity"` // in thousandths of a core
}

// readRegistration reads an entry, and reports whether it tells where a node can be reached.
func readRegistration(value []byte) (registration, bool) {
	var r registration
	ok := json.Unmarshal(value, &r) == nil && endpoint.IsAddress(r.PeerAddress)
	return r, ok
}

// register discovers the other nodes when the process starts, and registers this node unless enough others are registered.
func (n *Server) register(ctx context.Context) error {
	if n.settings.FirstStart {
		if isRegistrar(n.settings.VM) {
			n.writeRegistration(ctx)
		}
		loop.Sleep(ctx, firstListDelay)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = registerRetryMin
	retry.MaxInterval = registerRetryMax
	for tries := 1; ctx.Err() == nil && !n.tryRegister(ctx, tries); tries++ {
		loop.Sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// tryRegister lists the registered nodes, registers this node if it should be, and reports whether registration is complete.
// Of two nodes that register at the same time the later one finds the earlier one, since it repeats the list until it
// contains the node itself.
func (n *Server) tryRegister(ctx context.Context, tries int) bool {
	l, err := n.platform.Recent(ctx, keys.Gateways)
	if err != nil {
		return false
	}
	others := n.introduce(l.Objects)
	if n.isListed(l.Objects) {
		return others >= minRegistered || tries > maxRegisterTries
	}
	alone := others < minRegistered && tries > maxRegisterTries
	if !isRegistrar(n.settings.VM) && !alone {
		return others >= minRegistered
	}
	if !n.registrationWritten { // the list may be some tenths of a second old
		n.writeRegistration(ctx)
	}
	return false
}

// startDelay returns how long this new process waits to receive the configuration from other nodes before it queries the
// store.
func (n *Server) startDelay() time.Duration {
	wait := baseStartDelay
	if n.settings.FirstStart {
		wait = firstStartDelay
	}
	c := n.fleetProfile.Load()
	if c == nil || c.small {
		return wait
	}
	wait += c.turnDelay()
	if c.hasLarger {
		wait += smallerNodeDelay
	}
	if c.hasTurn {
		return wait
	}
	return wait + time.Duration(n.startJitter*float64(c.cohort)*float64(startSpreadPerNode))
}

// electionDelay returns the time that is deducted from this node's uptime in the election. Each node that tries to lead reads
// the lease: all fifty large nodes of a fleet of 986 made 128 calls until they had heard from the leader.
func (n *Server) electionDelay() time.Duration {
	return n.fleetProfile.Load().turnDelay()
}

// isSmallerAtStart reports whether this node has just started in a large fleet in which other nodes have larger VMs.
func (n *Server) isSmallerAtStart() bool {
	c := n.fleetProfile.Load()
	return c != nil && c.hasLarger && clock.Since(n.started) < relaySettleTime
}

// isRegistrar reports whether the node on that VM registers without listing the other nodes first.
func isRegistrar(vm string) bool { return xxhash.Sum64String(vm)%nodesPerRegistrar == 0 }

// isListed reports whether the objects contain this node's current registration.
func (n *Server) isListed(objects []infra.Object) bool {
	return slices.ContainsFunc(objects, func(o infra.Object) bool {
		var r registration
		return o.Key == keys.Gateways+n.settings.VM && json.Unmarshal(o.Value, &r) == nil && r == n.ownRegistration()
	})
}

// ownRegistration returns the registration that the store should hold for this node.
func (n *Server) ownRegistration() registration {
	return registration{PeerAddress: n.settings.PeerAddress, DataCentre: n.settings.DataCentre, Capacity: n.gossip.Self().Capacity}
}

// introduce passes the other registered nodes to the gossip, updates the fleet profile and returns how many others there are.
func (n *Server) introduce(objects []infra.Object) int {
	var others []gossip.Identity
	for _, o := range objects {
		r, ok := readRegistration(o.Value)
		if !ok || r.PeerAddress == n.settings.PeerAddress {
			continue
		}
		id := gossip.Identity{
			VM: o.Key[len(keys.Gateways):], DataCentre: r.DataCentre, Capacity: r.Capacity, GossipAddress: r.PeerAddress, PeerAddress: r.PeerAddress,
		}
		others = append(others, id)
		n.gossip.Introduce(id)
	}
	profile := newFleetProfile(n.gossip.Self(), others, n.isListed(objects))
	n.fleetProfile.Store(profile)
	n.fleetSize.observe(profile.nodes, true, clock.Now())
	return len(others)
}

// writeRegistration makes sure that the store holds this node's registration, and sets registrationWritten if it does.
func (n *Server) writeRegistration(ctx context.Context) {
	key := keys.Gateways + n.settings.VM
	own := n.ownRegistration()
	if outcome, _, _ := n.platform.Objects.Put(ctx, key, own, 0); outcome == infra.Applied {
		n.registrationWritten = true
		return
	}
	held, err := n.platform.Objects.Get(ctx, key)
	if err != nil {
		return // tryRegister repeats it
	}
	var r registration
	if json.Unmarshal(held.Value, &r) == nil && r == own {
		n.registrationWritten = true
		return
	}
	outcome, _, _ := n.platform.Objects.Put(ctx, key, own, held.Version)
	n.registrationWritten = outcome == infra.Applied
}
