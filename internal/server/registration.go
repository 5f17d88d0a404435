package server

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
)

const (
	// registrarOneIn is how many nodes there are for each that registers without being asked to. Nodes that know a few
	// others hear of all of them, so a fleet of 295 makes some 70 calls that are charged in full, not 590.
	registrarOneIn = 8
	// enoughRegistered is how many others have to be registered for a node not to register.
	enoughRegistered = 6
	// registerPatience is how many times a node looks for others before it registers though it is no registrar. Lists may be
	// some tenths of a second old, and those of a small fleet never show enough.
	registerPatience = 3
	// startPatience is how long a new process waits for the beats of others before it asks the store: those that live
	// send one each 100 ms to the address that it had before.
	startPatience = 150 * time.Millisecond
	// firstLook is how long a node waits at the first start of a fleet before it looks for others: lists show the registrars
	// some tenths of a second late, and each look is a call.
	firstLook = 1200 * time.Millisecond
	// firstStartPatience is startPatience at the first start of a fleet: within it nodes find the registrars and hear others.
	firstStartPatience = 2 * time.Second
	// turnWait is how much longer it is for each node that goes before this one: within that time most of a fleet of 300 has
	// the copy of the first. Without turns the nodes of a fleet of 300 that were all killed made 258 calls until they routed
	// again, with them 91, in the same time.
	turnWait = 400 * time.Millisecond
	// startSpread is how much longer the wait is at most for each node of a large fleet that would ask as soon, so that
	// ten a second ask, however many there are, until those that were answered have told the others: each asks for some ten pages.
	startSpread = 100 * time.Millisecond
	// smallerWait is how much longer it is for a node of a fleet with larger VMs: the first ones with a copy hand it on to
	// all others, which over a link of 20 Mbit/s takes seconds.
	smallerWait = time.Second
	// meetWithin is within what the nodes of a fleet that starts have met and agree on who relays.
	meetWithin = 3 * time.Second
	// registerRetry and registerRetryMax bound the growing pause between two tries to register.
	registerRetry    = 250 * time.Millisecond
	registerRetryMax = time.Second
)

// registration is what a node writes to the store so that others find it.
type registration struct {
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Capacity    uint32 `json:"capacity"` // in thousandths of a core
}

// register learns of the others, and makes this node known unless enough others are, once.
func (n *Server) register(ctx context.Context) error {
	if n.settings.FirstStart {
		if isRegistrar(n.settings.VM) {
			n.writeRegistration(ctx)
		}
		loop.Sleep(ctx, firstLook)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = registerRetry
	retry.MaxInterval = registerRetryMax
	for tries := 1; ctx.Err() == nil && !n.registered(ctx, tries); tries++ {
		loop.Sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// registered looks who is registered, registers this node if it should be, and reports whether it has nothing more to do to
// find the others and be found. Of two nodes that register at once the later one finds the earlier one, since it looks until
// it is listed itself.
func (n *Server) registered(ctx context.Context, tries int) bool {
	l, err := n.platform.Recent(ctx, keys.Gateways)
	if err != nil {
		return false
	}
	others := n.introduce(l.Objects)
	if n.lists(l.Objects) {
		return others >= enoughRegistered || tries > registerPatience
	}
	alone := others < enoughRegistered && tries > registerPatience
	if !isRegistrar(n.settings.VM) && !alone {
		return others >= enoughRegistered
	}
	if !n.written { // lists may be some tenths of a second old
		n.writeRegistration(ctx)
	}
	return false
}

// startPatience is how long this new process waits for others to tell it the configuration before it asks the store.
func (n *Server) startPatience() time.Duration {
	wait := startPatience
	if n.settings.FirstStart {
		wait = firstStartPatience
	}
	c := n.crowd.Load()
	if c == nil || c.few {
		return wait
	}
	wait += c.turnAfter()
	if c.larger {
		wait += smallerWait
	}
	if c.turn {
		return wait
	}
	return wait + time.Duration(n.startDraw*float64(c.alike)*float64(startSpread))
}

// yields is how much later than it has this node counts as having started when a leader is chosen. Each node that wants to lead
// reads the lease: all fifty large ones of 986 nodes made 128 calls until they had heard who led.
func (n *Server) yields() time.Duration {
	return n.crowd.Load().turnAfter()
}

// smaller reports whether this node has just started with a large fleet of which others have larger VMs.
func (n *Server) smaller() bool {
	c := n.crowd.Load()
	return c != nil && c.larger && clock.Since(n.started) < meetWithin
}

// isRegistrar reports whether that node registers without looking for others first.
func isRegistrar(vm string) bool { return xxhash.Sum64String(vm)%registrarOneIn == 0 }

// lists reports whether this node's address is among the registered ones.
func (n *Server) lists(objects []infra.Object) bool {
	return slices.ContainsFunc(objects, func(o infra.Object) bool {
		var r registration
		return o.Key == keys.Gateways+n.settings.VM && json.Unmarshal(o.Value, &r) == nil && r == n.ownRegistration()
	})
}

// ownRegistration is what the store is to hold of this node.
func (n *Server) ownRegistration() registration {
	return registration{PeerAddress: n.settings.PeerAddress, DataCentre: n.settings.DataCentre, Capacity: n.gossip.Self().Capacity}
}

// introduce makes the registered nodes known to the gossip and returns how many others there are.
func (n *Server) introduce(objects []infra.Object) int {
	var others []gossip.Identity
	for _, o := range objects {
		var r registration
		if json.Unmarshal(o.Value, &r) != nil || r.PeerAddress == n.settings.PeerAddress {
			continue
		}
		id := gossip.Identity{
			VM: o.Key[len(keys.Gateways):], Zone: r.DataCentre, Capacity: r.Capacity, GossipAddress: r.PeerAddress, PeerAddress: r.PeerAddress,
		}
		others = append(others, id)
		n.gossip.Introduce(id)
	}
	n.crowd.Store(crowdOf(n.gossip.Self(), others, n.lists(objects)))
	return len(others)
}

// writeRegistration makes sure that the store holds this node's address, as far as it answers.
func (n *Server) writeRegistration(ctx context.Context) {
	key := keys.Gateways + n.settings.VM
	own := n.ownRegistration()
	if outcome, _, _ := n.platform.Objects.Put(ctx, key, own, 0); outcome == infra.Applied {
		n.written = true
		return
	}
	held, err := n.platform.Objects.Get(ctx, key)
	if err != nil {
		return // it is tried again at the next look
	}
	var r registration
	if json.Unmarshal(held.Value, &r) == nil && r == own {
		n.written = true
		return
	}
	outcome, _, _ := n.platform.Objects.Put(ctx, key, own, held.Version)
	n.written = outcome == infra.Applied
}
