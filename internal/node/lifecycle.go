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
	// drainPropagationDelay is the time within which the draining state of this node reaches every other node.
	drainPropagationDelay = 2 * time.Second
	// drainTimeout is the longest wait for requests in flight to complete at shutdown.
	drainTimeout              = 10 * time.Minute
	drainCheckInterval        = 500 * time.Millisecond
	unregisterTimeout         = time.Second
	registrationCheckInterval = 10 * time.Second
)

// register writes this node's registration object, by which other nodes find it, and writes it again if it is
// removed. It replaces an earlier registration of the same VM.
func (n *Node) register(ctx context.Context) error {
	self := n.fleet.Members.Self(clock.Now())
	key := keys.Node(self.DataCentre, self.VM)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 200 * time.Millisecond
	wait.MaxInterval = 10 * time.Second
	registered := false
	for ctx.Err() == nil && !n.stopping.Load() {
		pause := registrationCheckInterval
		if o, ok := n.fleet.Mirror.Get(key); registered && ok && o.Version > 0 {
			wait.Reset()
		} else if registered = n.putSelf(ctx, key, self); !registered {
			pause = wait.NextBackOff()
		}
		loop.Sleep(ctx, pause)
	}
	return nil
}

// putSelf writes the registration object once and reports whether the write was applied.
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

// unregister deletes this node's registration object, unless a later process on the same VM has replaced it.
func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	self := n.fleet.Members.Self(clock.Now())
	key := keys.Node(self.DataCentre, self.VM)
	o, ok := n.fleet.Mirror.Get(key)
	if ok {
		_, _ = n.objects.Delete(ctx, key, o.Version)
	}
}

// syncDraining marks this node as draining while an operator has drained it or it is stopping. A draining node is
// left out of the address answers given to callers.
func (n *Node) syncDraining(ctx context.Context) error {
	loop.Every(ctx, drainCheckInterval, func(time.Time) {
		shouldDrain := n.stopping.Load() || n.drains.Read().Has(n.settings.VM)
		if shouldDrain != n.draining() {
			n.fleet.Members.Update(func(m *membership.Member) { m.Draining = shouldDrain })
			_ = level.Info(n.logger).Log("msg", "draining", "on", shouldDrain)
		}
	})
	return nil
}

// shutdown drains the node, waits for requests in flight, and stops its servers and background tasks.
func (n *Node) shutdown() error {
	n.stopping.Store(true)
	n.fleet.Members.Update(func(m *membership.Member) { m.Draining = true })
	_ = level.Info(n.logger).Log("msg", "stopping", "in_flight", n.entry.Inflight())
	time.Sleep(drainPropagationDelay + n.settings.AddressLifetime())
	n.entry.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := n.entry.Shutdown(ctx)
	for n.entry.Inflight() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	n.tunnels.Wait(ctx)
	n.unregister()
	n.cancelRun()
	err = errors.Join(err, n.admin.Shutdown(ctx))
	_ = level.Info(n.logger).Log("msg", "stopped", "in_flight", n.entry.Inflight())
	return err
}
