package holder

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/replica"
)

// sentOrder is the last order sent to a VM and the time it was sent.
type sentOrder struct {
	at    time.Time
	order infra.Order
}

// sendOrders sends an order to every VM whose reported state differs from the one that the assignment requires.
func (c *Controller) sendOrders(ctx context.Context, d config.DomainOf, s *domainState, view replica.View) {
	for _, vm := range d.VMs {
		v := view.VMs[vm.Name]
		if !v.Answered || !c.mayOrder(vm) {
			continue
		}
		desired := desiredOrder(s.latest, d, vm.Name)
		if satisfies(v.State, desired) {
			continue
		}
		last, ok := s.lastOrders[vm.Name]
		if ok && last.order.Group == desired.Group && last.order.GroupBirth == desired.GroupBirth &&
			last.order.Model == desired.Model && last.order.Version == desired.Version && clock.Since(last.at) < orderRetryInterval {
			continue
		}
		s.lastOrders[vm.Name] = sentOrder{clock.Now(), desired}
		c.sendOrder(ctx, vm, desired)
	}
}

// mayOrder reports whether orders may be sent to the VM. An engine that does not check assignment generations
// gets none until orderTimeout after the start of the tenure: by then every order of the previous holder has
// arrived or timed out.
func (c *Controller) mayOrder(vm config.VM) bool {
	return vm.ChecksOrders || clock.Since(c.epochStart) > orderTimeout
}

func (c *Controller) sendOrder(ctx context.Context, vm config.VM, order infra.Order) {
	epoch := c.epoch
	_, until, held := c.LeaseClient.Held(clock.Now())
	if !held {
		return
	}
	end := clock.Now().Add(orderTimeout)
	if until.Before(end) {
		end = until
	}
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), end)
	c.inflight.Go(func() error {
		defer cancel()
		if now, _, held := c.LeaseClient.Held(clock.Now()); !held || now != epoch {
			return nil
		}
		if err := c.Engine.Order(ctx, vm.Address, order); err != nil {
			_ = level.Warn(c.Logger).Log("msg", "order failed", "to", vm.Name, "group", order.Group, "err", err)
		}
		return nil
	})
}

// desiredOrder returns the order that puts vm into the state required by the assignment.
func desiredOrder(a *replica.Assignment, d config.DomainOf, vm string) infra.Order {
	o := infra.Order{VM: vm, Domain: a.Domain, Generation: a.Generation}
	g := a.GroupOf(vm)
	if g == nil {
		if w, ok := a.WarmOn(vm); ok {
			o.Model, o.Version = w.Model, w.Version
		}
		return o
	}
	o.Group, o.GroupBirth, o.Model, o.Version = g.ID, g.Birth, g.Model, g.Version
	o.Adapters, o.Places, o.Role = g.Adapters, g.Places, infra.RoleWorker
	if g.VMs[0] == vm {
		o.Role = infra.RoleLeader
	}
	for _, member := range g.VMs {
		i := slices.IndexFunc(d.VMs, func(v config.VM) bool { return v.Name == member })
		if i >= 0 {
			o.Members = append(o.Members, d.VMs[i].Address)
		}
	}
	return o
}

// satisfies reports whether the engine state s is the one that o requires.
func satisfies(s infra.EngineState, o infra.Order) bool {
	return s.InGroup(o.Group, o.GroupBirth, o.Model, o.Version) && s.Role == o.Role ||
		o.Group == "" && s.Group == "" && (o.Model == "" || s.Model == o.Model && s.Version == o.Version)
}
