// Package places connects the allocators of package allocator with the nodes that request places. Server answers
// for the pools that this node allocates; Client sends requests to the node that allocates a pool. A model has one
// pool in each region. A plain service has one pool for all regions, since nodes of every region send requests to
// its endpoints.
package places

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/peer/peerpb"
	"moorrun.dev/moorrun/internal/replica"
	"moorrun.dev/moorrun/internal/routing"
)

// maxAllocatorRank is the lowest rank at which a node answers for a pool. The second node answers too, because
// the membership views of two nodes differ for a while after a change.
const maxAllocatorRank = 2

// idlePoolLifetime is how long a pool is kept after its last report.
const idlePoolLifetime = time.Minute

const (
	// membershipInterval is how often the live nodes are checked for changes.
	membershipInterval = 200 * time.Millisecond
	// groupsRefreshInterval is the minimum time between two refreshes of a pool's groups.
	groupsRefreshInterval = 50 * time.Millisecond
	// minInterval is the minimum time between reports of a node that uses places. It grows with the number of nodes
	// (intervalPerNode), so that the load on the allocator stays the same.
	minInterval     = 100 * time.Millisecond
	intervalPerNode = 10 * time.Millisecond
)

// Server allocates the places of the pools that are assigned to this node.
type Server struct {
	members  *membership.Table
	router   *routing.Router
	services *routing.Services
	current  func() *config.Config
	checker  *invariant.Checker

	mu       sync.Mutex
	pools    map[string]*lockedPool
	regional liveSet // nodes of this region
	global   liveSet // nodes of all regions
}

// liveSet records the live nodes and since when they have not changed. As long as they don't change, the
// allocators of the pools don't either.
type liveSet struct {
	live  string // VM and incarnation of each node, sorted
	since time.Time
}

// lockedPool is the allocator of one pool with its own lock.
type lockedPool struct {
	mu          sync.Mutex
	pool        *allocator.Pool
	lastReport  time.Time
	overSince   time.Time // since when a group has been overcommitted; zero if none is
	lastRefresh time.Time // when the groups were last read
}

// NewServer returns a Server that has no pools yet.
func NewServer(members *membership.Table, router *routing.Router, services *routing.Services, current func() *config.Config, checker *invariant.Checker) *Server {
	initial := liveSet{since: clock.Now()}
	return &Server{
		members: members, router: router, services: services, current: current, checker: checker, pools: make(map[string]*lockedPool),
		regional: initial, global: initial,
	}
}

// rankedNodes returns the nodes that use the pool, ranked: the first one allocates its places.
func rankedNodes(pool string, members *membership.Table, c *config.Config, now time.Time) []membership.Member {
	return membership.Rank("places/"+pool, eligibleNodes(routing.IsServicePool(pool), members, c, now))
}

// eligibleNodes returns the live nodes that are not draining, of all regions or only of this node's region.
func eligibleNodes(allRegions bool, members *membership.Table, c *config.Config, now time.Time) []membership.Member {
	region := c.Region(members.Self(now).DataCentre)
	var out []membership.Member
	for _, m := range members.Live(now) {
		if !m.Draining && (allRegions || c.Region(m.DataCentre) == region) {
			out = append(out, m)
		}
	}
	return out
}

// Demand implements peer.Allocator.
func (s *Server) Demand(_ context.Context, request *peerpb.DemandRequest) *peerpb.DemandReply {
	now := clock.Now()
	c := s.current()
	if c == nil || !s.isAllocator(request.Model, c, now) {
		return &peerpb.DemandReply{NotAllocator: true}
	}
	grant := s.report(request.Model, reportFromWire(request), c, now)
	return grantToWire(grant)
}

// Run records changes of the live nodes, of this region and of all, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	loop.Every(ctx, membershipInterval, func(now time.Time) {
		if c := s.current(); c != nil {
			s.updateLive(c, now)
		}
	})
	return nil
}

func (s *Server) updateLive(c *config.Config, now time.Time) {
	regionalNodes, allNodes := eligibleNodes(false, s.members, c, now), eligibleNodes(true, s.members, c, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regional.update(regionalNodes, now)
	s.global.update(allNodes, now)
}

// update records the live nodes, and the time if they have changed.
func (s *liveSet) update(nodes []membership.Member, now time.Time) {
	names := make([]string, len(nodes))
	for i, m := range nodes {
		names[i] = m.VM + "/" + m.Incarnation
	}
	slices.Sort(names)
	if live := strings.Join(names, " "); live != s.live {
		s.live, s.since = live, now
	}
}

// isAllocator reports whether this node ranks high enough to answer for the pool.
func (s *Server) isAllocator(model string, c *config.Config, now time.Time) bool {
	list := rankedNodes(model, s.members, c, now)
	self := s.members.Self(now).VM
	for _, m := range list[:min(maxAllocatorRank, len(list))] {
		if m.VM == self {
			return true
		}
	}
	return false
}

// report records a report on the pool and returns the grant, with the interval until the next report.
func (s *Server) report(model string, r allocator.Report, c *config.Config, now time.Time) allocator.Grant {
	nodes := len(rankedNodes(model, s.members, c, now))
	grant := s.reportToPool(model, func() []allocator.Group { return s.groups(model, now) }, r, c, nodes, now)
	grant.Interval = max(minInterval, time.Duration(nodes)*intervalPerNode)
	return grant
}

// reportToPool records a report on a pool whose groups are returned by groups. expected is how many nodes report to
// the pool.
func (s *Server) reportToPool(model string, groups func() []allocator.Group, r allocator.Report, c *config.Config, expected int, now time.Time) allocator.Grant {
	p := s.pool(model, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReport = now
	if now.Sub(p.lastRefresh) >= groupsRefreshInterval {
		p.lastRefresh = now
		p.pool.SetGroups(groups())
	}
	grant := p.pool.Report(r, c.Share, expected, now)
	s.check(p, now)
	return grant
}

// check reports a breach of the invariant PlacesWithinCapacity if a group has been overcommitted for longer than a change of
// its places may take to be applied.
func (s *Server) check(p *lockedPool, now time.Time) {
	id, held, places, over := p.pool.Overcommitted()
	if !over {
		p.overSince = time.Time{}
	} else if p.overSince.IsZero() {
		p.overSince = now
	}
	settleTime := allocator.GrantLifetime + 2*time.Second
	s.checker.Check(invariant.PlacesWithinCapacity, !over || now.Sub(p.overSince) < settleTime, func() []any {
		return []any{"group", id, "held", held, "places", places}
	})
}

// groups returns the groups of the pool; those of a plain service are its endpoints.
func (s *Server) groups(pool string, now time.Time) []allocator.Group {
	var out []allocator.Group
	if routing.IsServicePool(pool) {
		for _, e := range s.services.Endpoints(pool) {
			out = append(out, allocator.Group{ID: e.Name, Places: e.MaxConcurrentCalls()})
		}
		return out
	}
	for _, t := range s.router.Groups(pool, now) {
		out = append(out, allocator.Group{ID: t.Group, Birth: t.Birth, Places: t.Places})
	}
	return out
}

// pool returns the pool, which is created if it is missing, and deletes idle pools.
func (s *Server) pool(model string, now time.Time) *lockedPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[model]
	if !ok {
		since := s.regional.since
		if routing.IsServicePool(model) {
			since = s.global.since
		}
		p = &lockedPool{pool: allocator.NewPool(since)}
		s.pools[model] = p
	}
	for name, other := range s.pools {
		if name != model && other.idle(now) {
			delete(s.pools, name)
		}
	}
	return p
}

// idle reports whether the pool has had no report for idlePoolLifetime; a pool whose lock is taken is in use.
func (p *lockedPool) idle(now time.Time) bool {
	if !p.mu.TryLock() {
		return false
	}
	defer p.mu.Unlock()
	return now.Sub(p.lastReport) > idlePoolLifetime
}

// Waiting returns how many requests wait for each model that this node allocates.
func (s *Server) Waiting() replica.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(replica.Demand)
	for model, p := range s.pools {
		if routing.IsServicePool(model) {
			continue
		}
		p.mu.Lock()
		out[model] = p.pool.Waiting()
		p.mu.Unlock()
	}
	return out
}
