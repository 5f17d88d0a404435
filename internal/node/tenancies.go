package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/holder"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
)

const tenancyEvery = 500 * time.Millisecond

// tenancies are this node's parts in the leases of its region's data centres: it contends for its own as a
// relay, and for those of data centres that have lost all their nodes.
type tenancies struct {
	node  *Node
	build func(dataCentre string, k *holder.Keeper) *holder.Controller

	mu   sync.Mutex
	held map[string]*holder.Keeper
}

// Run starts a keeper and a controller for each data centre that this node may act for.
func (t *tenancies) Run(ctx context.Context) error {
	var g errgroup.Group
	loop.Every(ctx, tenancyEvery, func(now time.Time) {
		for _, dataCentre := range t.due(now) {
			k := t.keeper(dataCentre)
			c := t.build(dataCentre, k)
			g.Go(func() error { return k.Run(ctx) })
			g.Go(func() error { return c.Run(ctx) })
		}
	})
	return g.Wait()
}

// due returns the data centres to start a keeper for: the own one, and orphans.
func (t *tenancies) due(now time.Time) []string {
	c := t.node.keeper.Current()
	if c == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, d := range c.Domains() {
		if _, started := t.held[d.DataCentre]; !started && t.wants(d.DataCentre, c, now) {
			out = append(out, d.DataCentre)
			t.held[d.DataCentre] = nil
		}
	}
	return out
}

func (t *tenancies) keeper(dataCentre string) *holder.Keeper {
	n := t.node
	want := func() bool {
		c := n.keeper.Current()
		return c != nil && n.work.Err() == nil && !n.draining() && t.wants(dataCentre, c, clock.Now())
	}
	ttl := n.settings.LeaseTTL()
	k := holder.NewKeeper(n.objects, dataCentre, n.settings.VM, ttl, ttl/marginPart, want, n.logger)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[dataCentre] = k
	return k
}

// marginPart is the part of a lease's term that others wait beyond it.
const marginPart = 10

// wants reports whether this node should hold the data centre's lease: as a relay of its own, or as the first
// guardian of one that has no nodes.
func (t *tenancies) wants(dataCentre string, c *config.Config, now time.Time) bool {
	n := t.node
	if dataCentre == n.settings.DataCentre {
		return n.links.IsRelay()
	}
	if c.Region(dataCentre) != c.Region(n.settings.DataCentre) {
		return false
	}
	guardians := membership.Rank("guard/"+dataCentre, n.orphans.ActingNodes(dataCentre, now))
	return len(guardians) > 0 && guardians[0].VM == n.settings.VM
}

// anyHeld reports whether this node holds a lease.
func (t *tenancies) anyHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	for _, k := range t.held {
		if k == nil {
			continue
		}
		if _, _, ok := k.Held(now); ok {
			return true
		}
	}
	return false
}
