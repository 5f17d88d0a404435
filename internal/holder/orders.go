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

// sentOrder is the last order given to a VM.
type sentOrder struct {
	at    time.Time
	order infra.Order
}

// order tells every VM that does not show the wanted end to come to it.
func (c *Controller) order(ctx context.Context, d config.DomainOf, s *domainState, view replica.View) {
	for _, vm := range d.VMs {
		v := view.VMs[vm.Name]
		if !v.Answered || !c.mayOrder(vm) {
			continue
		}
		wanted := wantedEnd(s.latest, d, vm.Name)
		if obeyed(v.State, wanted) {
			continue
		}
		last, ok := s.ordered[vm.Name]
		if ok && last.order.Group == wanted.Group && last.order.GroupBirth == wanted.GroupBirth &&
			last.order.Model == wanted.Model && last.order.Version == wanted.Version && clock.Since(last.at) < orderAgain {
			continue
		}
		s.ordered[vm.Name] = sentOrder{clock.Now(), wanted}
		c.send(ctx, vm, wanted)
	}
}

// mayOrder holds orders to engines that do not check generations back, until those of the holder before
// must have arrived or ended.
func (c *Controller) mayOrder(vm config.VM) bool {
	return vm.ChecksOrders || clock.Since(c.since) > orderTimeout
}

func (c *Controller) send(ctx context.Context, vm config.VM, wanted infra.Order) {
	epoch := c.epoch
	_, until, held := c.Keeper.Held(clock.Now())
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
		if now, _, held := c.Keeper.Held(clock.Now()); !held || now != epoch {
			return nil
		}
		if err := c.Engine.Order(ctx, vm.Address, wanted); err != nil {
			_ = level.Warn(c.Logger).Log("msg", "order not obeyed", "to", vm.Name, "group", wanted.Group, "err", err)
		}
		return nil
	})
}

// wantedEnd is the order that states what vm should be.
func wantedEnd(a *replica.Assignment, d config.DomainOf, vm string) infra.Order {
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

func obeyed(s infra.EngineState, o infra.Order) bool {
	return s.InGroup(o.Group, o.GroupBirth, o.Model, o.Version) && s.Role == o.Role ||
		o.Group == "" && s.Group == "" && (o.Model == "" || s.Model == o.Model && s.Version == o.Version)
}
