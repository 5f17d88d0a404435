// Package observer polls the engine VMs of the fabric domains that fall to this node and says which
// replica groups are whole. It needs no lease and goes on while the platform's store is down.
package observer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer"
	"moorrun.dev/moorrun/internal/replica"
)

const (
	// observersADomain is how many nodes look at each domain, so that one may die unnoticed. The second looks
	// half an interval less often: it only has to keep the evidence alive until it is the first.
	observersADomain = 2
	reviewEvery      = 500 * time.Millisecond
	maxPolls         = 64 // at a time
)

// Observer watches engines.
type Observer struct {
	fleet    *peer.Fleet
	engine   infra.Engine
	book     *domains.Book
	config   func() *config.Config
	orphans  *membership.Orphans
	every    time.Duration
	lifetime time.Duration

	mu       sync.Mutex
	sequence uint64
	running  map[string]watch
	wg       sync.WaitGroup
}

// New returns an Observer that polls each VM every so often and gives evidence of that lifetime,
// counted from the oldest last answer among a group's members.
func New(fleet *peer.Fleet, engine infra.Engine, book *domains.Book, current func() *config.Config, orphans *membership.Orphans, every, lifetime time.Duration) *Observer {
	return &Observer{
		fleet: fleet, engine: engine, book: book, config: current, orphans: orphans, every: every, lifetime: lifetime,
		running: make(map[string]watch),
	}
}

// watch is one domain being looked at.
type watch struct {
	every  time.Duration
	cancel context.CancelFunc
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	loop.Every(ctx, reviewEvery, func(now time.Time) { o.review(ctx, now) })
	o.wg.Wait()
	return nil
}

// review starts and stops watches so that this node looks at the domains that fall to it.
func (o *Observer) review(ctx context.Context, now time.Time) {
	wanted := o.mine(now)
	for domain, w := range o.running {
		if wanted[domain] == w.every {
			continue
		}
		w.cancel()
		delete(o.running, domain)
		if wanted[domain] == 0 {
			o.fleet.Outgoing.Drop(domain)
		}
	}
	for domain, every := range wanted {
		if _, ok := o.running[domain]; ok {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		o.running[domain] = watch{every, cancel}
		o.wg.Go(func() { o.watch(watchCtx, domain, every) })
	}
}

// mine returns the domains that fall to this node, with how often to look at each.
func (o *Observer) mine(now time.Time) map[string]time.Duration {
	c := o.config()
	if c == nil {
		return nil
	}
	self := o.fleet.Members.Self(now)
	guardians := make(map[string][]membership.Member)
	out := make(map[string]time.Duration)
	for name, d := range c.Domains() {
		if c.Region(d.DataCentre) != c.Region(self.DataCentre) {
			continue
		}
		if _, known := guardians[d.DataCentre]; !known {
			guardians[d.DataCentre] = o.orphans.Guardians(d.DataCentre, now)
		}
		purpose := "observe/" + name
		if d.DataCentre != self.DataCentre {
			purpose = "guard/" + d.DataCentre // the one that decides for it looks itself
		}
		ranked := membership.Rank(purpose, guardians[d.DataCentre])
		for i, m := range ranked[:min(observersADomain, len(ranked))] {
			if m.VM == self.VM {
				out[name] = o.every + o.every/2*time.Duration(i)
			}
		}
	}
	return out
}

// watch polls one domain's VMs until ctx ends.
func (o *Observer) watch(ctx context.Context, domain string, every time.Duration) {
	views := &vmViews{vms: make(map[string]replica.VMView)}
	loop.Every(ctx, every, func(time.Time) {
		if c := o.config(); c != nil {
			if d, ok := c.Domains()[domain]; ok {
				o.look(ctx, d, views)
			}
		}
	})
}

// look polls every VM of the domain once and publishes what they say.
func (o *Observer) look(ctx context.Context, d config.DomainOf, views *vmViews) {
	var polls errgroup.Group
	polls.SetLimit(maxPolls)
	for _, vm := range d.VMs {
		polls.Go(func() error {
			sent := clock.Now()
			state, err := o.engine.State(ctx, vm.Address)
			if err == nil && state.VM == vm.Name {
				views.put(vm.Name, replica.VMView{Answered: true, LastAnswer: sent, State: state})
			}
			return nil
		})
	}
	_ = polls.Wait()
	if ctx.Err() == nil {
		o.publish(d.Name, views.copy())
	}
}

func (o *Observer) publish(domain string, vms map[string]replica.VMView) {
	now := clock.Now()
	look := evidence.Look{Domain: domain, Observer: peer.ObserverName(o.fleet.Members.Self(now)), Near: true}
	if a, _, ok := o.book.Get(domain); ok {
		look.Generation = a.Generation
		for _, g := range a.Groups {
			if g.State != replica.Draining {
				look.Groups = append(look.Groups, o.judge(g, vms, now))
			}
		}
	}
	o.mu.Lock()
	o.sequence++
	look.Sequence = o.sequence
	o.mu.Unlock()
	o.fleet.Looks.Put(look, now)
	for vm, v := range vms {
		o.fleet.Reports.Put(vm, v)
	}
	o.fleet.Outgoing.Put(look, vms)
}

// judge says until when routers may use the group: its lifetime after the oldest of its members' last answers.
func (o *Observer) judge(g *replica.Group, vms map[string]replica.VMView, now time.Time) evidence.Group {
	out := evidence.Group{ID: g.ID, Birth: g.Birth}
	if !replica.Whole(g, vms, now, o.lifetime) {
		return out
	}
	oldest := now
	for _, vm := range g.VMs {
		if at := vms[vm].LastAnswer; at.Before(oldest) {
			oldest = at
		}
	}
	out.Expires = oldest.Add(o.lifetime)
	leader := vms[g.VMs[0]].State
	out.Running, out.Waiting = uint32(leader.Running), uint32(leader.Waiting)
	return out
}
