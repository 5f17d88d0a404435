package node

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
)

const (
	// drainSpread is how long it takes until every node knows that this one drains.
	drainSpread = 2 * time.Second
	// finishLimit bounds the wait for requests in flight.
	finishLimit      = 10 * time.Minute
	followDrainEvery = 500 * time.Millisecond
	unregisterWait   = time.Second
	registeredEvery  = 10 * time.Second
)

// register writes this node's object, so that others find it, and writes it again if it is removed. An earlier
// one of the same VM is replaced.
func (n *Node) register(ctx context.Context) error {
	self := n.fleet.Members.Self(clock.Now())
	key := keys.Node(self.DataCentre, self.VM)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 200 * time.Millisecond
	wait.MaxInterval = 10 * time.Second
	registered := false
	for ctx.Err() == nil && !n.stopping.Load() {
		pause := registeredEvery
		if o, ok := n.fleet.Mirror.Get(key); registered && ok && o.Version > 0 {
			wait.Reset()
		} else if registered = n.putSelf(ctx, key, self); !registered {
			pause = wait.NextBackOff()
		}
		loop.Sleep(ctx, pause)
	}
	return nil
}

func (n *Node) putSelf(ctx context.Context, key string, self membership.Member) bool {
	o, err := n.objects.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return false
	}
	outcome, version, _ := n.objects.Put(ctx, key, self, o.Version)
	if outcome != infra.Applied {
		return false
	}
	_ = level.Info(n.logger).Log("msg", "registered", "version", version)
	return true
}

// unregister removes the object again, unless a successor has replaced it.
func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterWait)
	defer cancel()
	self := n.fleet.Members.Self(clock.Now())
	key := keys.Node(self.DataCentre, self.VM)
	o, ok := n.fleet.Mirror.Get(key)
	if ok {
		_, _ = n.objects.Delete(ctx, key, o.Version)
	}
}

// followDrains takes the node out of the address answers while an operator has drained it.
func (n *Node) followDrains(ctx context.Context) error {
	loop.Every(ctx, followDrainEvery, func(time.Time) {
		wanted := n.stopping.Load() || n.drains.Read().Has(n.settings.VM)
		if wanted != n.draining() {
			n.fleet.Members.Update(func(m *membership.Member) { m.Draining = wanted })
			_ = level.Info(n.logger).Log("msg", "draining", "on", wanted)
		}
	})
	return nil
}

// shutdown drains the node and stops its parts.
func (n *Node) shutdown() error {
	n.stopping.Store(true)
	n.fleet.Members.Update(func(m *membership.Member) { m.Draining = true })
	_ = level.Info(n.logger).Log("msg", "stopping", "in_flight", n.entry.Inflight())
	time.Sleep(drainSpread + n.settings.AddressLifetime())
	n.entry.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), finishLimit)
	defer cancel()
	err := n.entry.Shutdown(ctx)
	for n.entry.Inflight() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	n.unregister()
	n.stop()
	err = errors.Join(err, n.admin.Shutdown(ctx))
	_ = level.Info(n.logger).Log("msg", "stopped", "in_flight", n.entry.Inflight())
	return err
}
