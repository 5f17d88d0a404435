// Package observer polls the engine VMs of the fabric domains assigned to this node and publishes which replica
// groups are whole, that is, have all their VMs ready. It needs no lease and keeps working while the platform's
// store is down.
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
	// observersPerDomain is how many nodes poll each domain, so that the failure of one has no effect. The second
	// one's interval is longer by half: it only has to keep the evidence from expiring until it becomes the first.
	observersPerDomain = 2
	reviewInterval     = 500 * time.Millisecond
	maxConcurrentPolls = 64 // per domain
)

// Observer polls the engine VMs of its domains and publishes evidence about their replica groups.
type Observer struct {
	fleet            *peer.Fleet
	engine           infra.Engine
	assignments      *domains.Reader
	config           func() *config.Config
	takeover         *membership.Takeover
	pollInterval     time.Duration
	evidenceLifetime time.Duration

	mu       sync.Mutex
	sequence uint64
	watches  map[string]domainWatch
	wg       sync.WaitGroup
}

// New returns an Observer that polls each VM at the interval every. Its evidence for a group expires when
// lifetime has passed since the oldest of the last answers of the group's VMs.
func New(fleet *peer.Fleet, engine infra.Engine, assignments *domains.Reader, current func() *config.Config, takeover *membership.Takeover, every, lifetime time.Duration) *Observer {
	return &Observer{
		fleet: fleet, engine: engine, assignments: assignments, config: current, takeover: takeover, pollInterval: every, evidenceLifetime: lifetime,
		watches: make(map[string]domainWatch),
	}
}

// domainWatch is the running poll loop of one domain.
type domainWatch struct {
	interval time.Duration
	cancel   context.CancelFunc
}

// Run polls the assigned domains until ctx is done.
func (o *Observer) Run(ctx context.Context) error {
	loop.Every(ctx, reviewInterval, func(now time.Time) { o.updateWatches(ctx, now) })
	o.wg.Wait()
	return nil
}

// updateWatches starts and stops poll loops so that this node polls exactly the domains assigned to it.
func (o *Observer) updateWatches(ctx context.Context, now time.Time) {
	wanted := o.assignedDomains(now)
	for domain, w := range o.watches {
		if wanted[domain] == w.interval {
			continue
		}
		w.cancel()
		delete(o.watches, domain)
		if wanted[domain] == 0 {
			o.fleet.Outgoing.Drop(domain)
		}
	}
	for domain, every := range wanted {
		if _, ok := o.watches[domain]; ok {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		o.watches[domain] = domainWatch{every, cancel}
		o.wg.Go(func() { o.pollDomain(watchCtx, domain, every) })
	}
}

// assignedDomains returns the domains assigned to this node, with the poll interval of each.
func (o *Observer) assignedDomains(now time.Time) map[string]time.Duration {
	c := o.config()
	if c == nil {
		return nil
	}
	self := o.fleet.Members.Self(now)
	actingNodes := make(map[string][]membership.Member)
	out := make(map[string]time.Duration)
	for name, d := range c.Domains() {
		if c.Region(d.DataCentre) != c.Region(self.DataCentre) {
			continue
		}
		if _, known := actingNodes[d.DataCentre]; !known {
			actingNodes[d.DataCentre] = o.takeover.ActingNodes(d.DataCentre, now)
		}
		purpose := "observe/" + name
		if d.DataCentre != self.DataCentre {
			purpose = "guard/" + d.DataCentre // the same ranking as for the lease, so that the node that decides also polls
		}
		ranked := membership.Rank(purpose, actingNodes[d.DataCentre])
		for i, m := range ranked[:min(observersPerDomain, len(ranked))] {
			if m.VM == self.VM {
				out[name] = o.pollInterval + o.pollInterval/2*time.Duration(i)
			}
		}
	}
	return out
}

// pollDomain polls one domain's VMs at the given interval until ctx is done.
func (o *Observer) pollDomain(ctx context.Context, domain string, every time.Duration) {
	views := &vmViews{vms: make(map[string]replica.VMView)}
	loop.Every(ctx, every, func(time.Time) {
		if c := o.config(); c != nil {
			if d, ok := c.Domains()[domain]; ok {
				o.pollOnce(ctx, d, views)
			}
		}
	})
}

// pollOnce polls every VM of the domain once and publishes the results.
func (o *Observer) pollOnce(ctx context.Context, d config.DomainOf, views *vmViews) {
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
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
	observation := evidence.Observation{Domain: domain, Observer: peer.ObserverName(o.fleet.Members.Self(now)), SameDataCentre: true}
	if a, _, ok := o.assignments.Get(domain); ok {
		observation.Generation = a.Generation
		for _, g := range a.Groups {
			if g.State != replica.Draining {
				observation.Groups = append(observation.Groups, o.groupEvidence(g, vms, now))
			}
		}
	}
	o.mu.Lock()
	o.sequence++
	observation.Sequence = o.sequence
	o.mu.Unlock()
	o.fleet.Observations.Put(observation, now)
	for vm, v := range vms {
		o.fleet.Reports.Put(vm, v)
	}
	o.fleet.Outgoing.Put(observation, vms)
}

// groupEvidence returns the evidence for a group: routers may use it until the evidence lifetime has passed since
// the oldest of its VMs' last answers. A group that is not whole gets a zero expiry time.
func (o *Observer) groupEvidence(g *replica.Group, vms map[string]replica.VMView, now time.Time) evidence.Group {
	out := evidence.Group{ID: g.ID, Birth: g.Birth}
	if !replica.AllVMsReady(g, vms, now, o.evidenceLifetime) {
		return out
	}
	oldest := now
	for _, vm := range g.VMs {
		if at := vms[vm].LastAnswer; at.Before(oldest) {
			oldest = at
		}
	}
	out.Expires = oldest.Add(o.evidenceLifetime)
	leader := vms[g.VMs[0]].State
	out.Running, out.Waiting, out.LeaderBoot = uint32(leader.Running), uint32(leader.Waiting), leader.BootHash()
	return out
}
