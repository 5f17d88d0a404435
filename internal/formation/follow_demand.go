package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/route"
)

// followInterval is the interval at which a node that does not plan updates the demand. It is short against the waves of
// the demand, and only a quarter of the cost of an update in each step.
const followInterval = 4 * stepInterval

// demandOf returns the demand of a service. Callers hold mu.
func (c *Controller) demandOf(service string) *demand {
	d := c.demands[service]
	if d == nil {
		d = newDemand()
		c.demands[service] = d
	}
	return d
}

// followDemand updates the demand while this node plans nothing. A new leader that knew only the demand since the start of
// its tenure would end groups in the trough of a wave. leads is set if this node holds the lease. A node that may not lead
// receives only part of the demand and forgets what it has observed.
func (c *Controller) followDemand(table *route.Table, leads bool, now time.Time) {
	if !leads && (c.MayLead == nil || !c.MayLead()) {
		clear(c.demands)
		return
	}
	if table == nil || now.Sub(c.followedAt) < followInterval {
		return
	}
	c.followedAt = now
	requests, mixes := demandByModel(c.fleetTotals(now))
	for _, s := range table.Engines() {
		c.demandOf(s.Name).update(s.Engine, requests, mixes, now)
	}
}

// GroupsNeeded is the number of replica groups that a model needs.
type GroupsNeeded struct {
	Service, Model string
	Present, Peak  float64 // now, and at most within the longest load time of the service's models
}

// GroupsNeeded returns the groups needed by each model, zero where this node does not follow the demand.
func (c *Controller) GroupsNeeded(now time.Time) []GroupsNeeded {
	table := c.Table()
	if table == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []GroupsNeeded
	for _, s := range table.Engines() {
		d := c.demands[s.Name]
		for _, m := range s.Engine.Models {
			n := GroupsNeeded{Service: s.Name, Model: m.Name}
			if d != nil {
				n.Present, n.Peak = d.present(s.Engine, m), d.peak(s.Engine, m, now)
			}
			out = append(out, n)
		}
	}
	return out
}

// fleetTotals returns the totals of all nodes.
func (c *Controller) fleetTotals(now time.Time) *gossip.Totals {
	total := gossip.NewTotals()
	total.AddTotals(c.PeerTotals(now))
	own := c.OwnStatus(now)
	total.Add(&own)
	return total
}

// demandByModel returns the running and waiting requests, and the request mixes, by model.
func demandByModel(total *gossip.Totals) (requests map[string]int, mixes map[string]engine.Mix) {
	requests, mixes = make(map[string]int, len(total.Demands)), make(map[string]engine.Mix, len(total.Demands))
	for model, d := range total.Demands {
		requests[model] = d.Running + d.Waiting
		mixes[model] = d.Mix
	}
	return requests, mixes
}
