package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

const (
	// registrarOneIn is how many nodes there are for each that registers without being asked to. Nodes that know a few
	// others hear of all of them, so a fleet of 295 makes some 70 calls that are charged in full, not 590.
	registrarOneIn = 8
	// enoughRegistered is how many others have to be registered for a node not to register.
	enoughRegistered = 6
	// registerPatience is how many times a node looks for others before it may register though it is no registrar. Lists may
	// be some seconds old, and at the first start of a fleet nobody is registered. From then on it draws lots at each look,
	// first with a chance of one in registrarOneIn and then of twice as much each time: when all nodes registered at the
	// fourth look, 220 of 300 that started together did, most of them before the lists showed the registrars.
	registerPatience = 3
	// startPatience is how long a new process waits for the beats of others before it asks the store: those that live
	// send one each 100 ms to the address that it had before.
	startPatience = 150 * time.Millisecond
	// firstStartPatience is that at the first start of a fleet, when nobody is listed yet: within it nodes find the
	// registrars, whose entries the lists show some tenths of a second late, and hear each other.
	firstStartPatience = 1500 * time.Millisecond
	// startSpread is how much longer the wait is at most for each node beyond gossip.SmallFleet that would ask as soon, so that
	// twenty a second ask, however many there are, until those that were answered have told the others.
	startSpread = 50 * time.Millisecond
	// smallerWait is how much longer it is for a node of a fleet with larger VMs: the first ones with a copy hand it on to
	// all others, which over a link of 20 Mbit/s takes seconds.
	smallerWait = time.Second
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
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = registerRetry
	retry.MaxInterval = registerRetryMax
	for tries := 1; ctx.Err() == nil && !n.registered(ctx, tries); tries++ {
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

// registered reports whether this node has nothing more to do to find the others and be found.
func (n *Server) registered(ctx context.Context, tries int) bool {
	registers := isRegistrar(n.settings.VM) || tries > registerPatience && n.draws(tries-registerPatience)
	if registers && n.settings.FirstStart {
		return n.registerOnce(ctx) // it cannot be listed yet
	}
	l, err := n.platform.Recent(ctx, keys.Gateways)
	if err != nil {
		return false
	}
	others := n.introduce(l.Objects)
	if registers && !n.lists(l.Objects) {
		return n.registerOnce(ctx)
	}
	return others >= enoughRegistered || registers && tries > registerPatience
}

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

// draws draws lots, with a chance that doubles from turn to turn.
func (n *Server) draws(turn int) bool {
	return rand.IntN(registrarOneIn) < 1<<(turn-1) //nolint:gosec // spreads writes
}

// startPatience is how long this new process waits for others to tell it the configuration before it asks the store.
func (n *Server) startPatience() time.Duration {
	wait := startPatience
	if n.settings.FirstStart {
		wait = firstStartPatience
	}
	c := n.crowd.Load()
	if c == nil {
		return wait
	}
	if c.larger {
		wait += smallerWait
	}
	return wait + time.Duration(n.startDraw*float64(max(0, c.alike-gossip.SmallFleet))*float64(startSpread))
}

// isRegistrar reports whether that node registers without looking for others first.
func isRegistrar(vm string) bool { return xxhash.Sum64String(vm)%registrarOneIn == 0 }

// registerOnce writes this node's address first and reads the others' after it: of two nodes that start at once
// the later writer reads the earlier one's.
func (n *Server) registerOnce(ctx context.Context) bool {
	if !n.writeRegistration(ctx) {
		return false
	}
	l, err := n.platform.Objects.List(ctx, keys.Gateways)
	if err != nil {
		return false
	}
	n.introduce(l.Objects)
	return true
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
	n.crowd.Store(crowdOf(n.gossip.Self().Capacity, others))
	return len(others)
}

// writeRegistration makes sure that the store holds this node's address.
func (n *Server) writeRegistration(ctx context.Context) bool {
	key := keys.Gateways + n.settings.VM
	own := n.ownRegistration()
	if outcome, _, _ := n.platform.Objects.Put(ctx, key, own, 0); outcome == infra.Applied {
		return true
	}
	held, err := n.platform.Objects.Get(ctx, key)
	if err != nil {
		return false
	}
	var r registration
	if json.Unmarshal(held.Value, &r) == nil && r == own {
		return true
	}
	outcome, _, _ := n.platform.Objects.Put(ctx, key, own, held.Version)
	return outcome == infra.Applied
}
