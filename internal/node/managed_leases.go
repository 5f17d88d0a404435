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

const leaseCheckInterval = 500 * time.Millisecond

// leaseManager runs the lease clients and controllers for the data centre leases of this node's region. The node contends for
// the lease of its own data centre while it is a relay, and for those of data centres that have lost all their nodes.
type leaseManager struct {
	node          *Node
	newController func(dataCentre string, k *holder.LeaseClient) *holder.Controller

	mu           sync.Mutex
	leaseClients map[string]*holder.LeaseClient // by data centre; nil until the lease client is created
}

// Run starts a lease client and a controller for each data centre whose lease this node should hold.
func (m *leaseManager) Run(ctx context.Context) error {
	var g errgroup.Group
	loop.Every(ctx, leaseCheckInterval, func(now time.Time) {
		for _, dataCentre := range m.claimUnstarted(now) {
			k := m.newLeaseClient(dataCentre)
			c := m.newController(dataCentre, k)
			g.Go(func() error { return k.Run(ctx) })
			g.Go(func() error { return c.Run(ctx) })
		}
	})
	return g.Wait()
}

// claimUnstarted returns the data centres whose lease this node should hold and that have no lease client yet, and marks
// them as started. These are its own data centre and those without live nodes.
func (m *leaseManager) claimUnstarted(now time.Time) []string {
	c := m.node.configTracker.Current()
	if c == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, d := range c.Domains() {
		if _, started := m.leaseClients[d.DataCentre]; !started && m.shouldHold(d.DataCentre, c, now) {
			out = append(out, d.DataCentre)
			m.leaseClients[d.DataCentre] = nil
		}
	}
	return out
}

// newLeaseClient creates and stores the lease client of a data centre.
func (m *leaseManager) newLeaseClient(dataCentre string) *holder.LeaseClient {
	n := m.node
	want := func() bool {
		c := n.configTracker.Current()
		return c != nil && n.runCtx.Err() == nil && !n.draining() && m.shouldHold(dataCentre, c, clock.Now())
	}
	ttl := n.settings.LeaseTTL()
	k := holder.NewLeaseClient(n.objects, dataCentre, n.settings.VM, ttl, ttl/leaseMarginDivisor, want, n.logger)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseClients[dataCentre] = k
	return k
}

// leaseMarginDivisor sets the safety margin of a lease to a tenth of its TTL. Other nodes wait for that margin
// after the lease's end before they take it over.
const leaseMarginDivisor = 10

// shouldHold reports whether this node should hold the data centre's lease: in its own data centre if it is a
// relay, and in another of the same region if it ranks first among the nodes that act for a data centre without
// live nodes.
func (m *leaseManager) shouldHold(dataCentre string, c *config.Config, now time.Time) bool {
	n := m.node
	if dataCentre == n.settings.DataCentre {
		return n.links.IsRelay()
	}
	if c.Region(dataCentre) != c.Region(n.settings.DataCentre) {
		return false
	}
	acting := membership.Rank("guard/"+dataCentre, n.takeover.ActingNodes(dataCentre, now))
	return len(acting) > 0 && acting[0].VM == n.settings.VM
}

// holdsAny reports whether this node holds the lease of any data centre.
func (m *leaseManager) holdsAny() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	for _, k := range m.leaseClients {
		if k == nil {
			continue
		}
		if _, _, ok := k.Held(now); ok {
			return true
		}
	}
	return false
}
