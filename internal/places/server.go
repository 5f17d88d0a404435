// Package places joins the allocators of package allocator to the nodes that ask them: one side answers
// for the pools that fall to this node, the other asks whoever a pool falls to. A model has a pool in each region, a plain service
// one for all, since nodes of every region send to its endpoints.
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

// acceptRank is how far down a model's ranking a node still answers: the views of two nodes differ for a while.
const acceptRank = 2

// idlePool is how long a pool nobody asks for is kept.
const idlePool = time.Minute

const (
	reviewEvery = 200 * time.Millisecond
	// readEvery is how often a pool's groups are read anew.
	readEvery = 50 * time.Millisecond
	// minInterval is how often a node reports while it uses places; with many nodes less often, so that the
	// allocator's work stays the same.
	minInterval     = 100 * time.Millisecond
	intervalPerNode = 10 * time.Millisecond
)

// Server allocates the places of the models that fall to this node.
type Server struct {
	members  *membership.Table
	router   *routing.Router
	services *routing.Services
	current  func() *config.Config
	checker  *invariant.Checker

	mu       sync.Mutex
	pools    map[string]*lockedPool
	near     settled // nodes of this region
	anywhere settled
}

// settled tells since when the live nodes, and with them whose turn it is, have not changed.
type settled struct {
	live  string
	since time.Time
}

// lockedPool is one allocator under its own lock.
type lockedPool struct {
	mu    sync.Mutex
	pool  *allocator.Pool
	asked time.Time
	over  time.Time // since when more places are held than there are
	read  time.Time // when the groups were last read
}

// NewServer returns a Server without pools.
func NewServer(members *membership.Table, router *routing.Router, services *routing.Services, current func() *config.Config, checker *invariant.Checker) *Server {
	now := settled{since: clock.Now()}
	return &Server{
		members: members, router: router, services: services, current: current, checker: checker, pools: make(map[string]*lockedPool),
		near: now, anywhere: now,
	}
}

// ranked returns the nodes that use a pool in the order in which they allocate its places.
func ranked(pool string, members *membership.Table, c *config.Config, now time.Time) []membership.Member {
	return membership.Rank("places/"+pool, users(routing.IsServicePool(pool), members, c, now))
}

// users returns the nodes of all regions, or those of this node's.
func users(anywhere bool, members *membership.Table, c *config.Config, now time.Time) []membership.Member {
	region := c.Region(members.Self(now).DataCentre)
	var out []membership.Member
	for _, m := range members.Live(now) {
		if !m.Draining && (anywhere || c.Region(m.DataCentre) == region) {
			out = append(out, m)
		}
	}
	return out
}

// Demand implements peer.Allocator.
func (s *Server) Demand(_ context.Context, request *peerpb.DemandRequest) *peerpb.DemandReply {
	now := clock.Now()
	c := s.current()
	if c == nil || !s.falls(request.Model, c, now) {
		return &peerpb.DemandReply{NotAllocator: true}
	}
	grant := s.report(request.Model, reportFromWire(request), c, now)
	return grantToWire(grant)
}

// Run notes changes of the region's live nodes until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	loop.Every(ctx, reviewEvery, func(now time.Time) {
		if c := s.current(); c != nil {
			s.review(c, now)
		}
	})
	return nil
}

func (s *Server) review(c *config.Config, now time.Time) {
	near, anywhere := users(false, s.members, c, now), users(true, s.members, c, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.near.see(near, now)
	s.anywhere.see(anywhere, now)
}

// see takes in which nodes are live.
func (s *settled) see(nodes []membership.Member, now time.Time) {
	names := make([]string, len(nodes))
	for i, m := range nodes {
		names[i] = m.VM + "/" + m.Incarnation
	}
	slices.Sort(names)
	if live := strings.Join(names, " "); live != s.live {
		s.live, s.since = live, now
	}
}

func (s *Server) falls(model string, c *config.Config, now time.Time) bool {
	list := ranked(model, s.members, c, now)
	self := s.members.Self(now).VM
	for _, m := range list[:min(acceptRank, len(list))] {
		if m.VM == self {
			return true
		}
	}
	return false
}

func (s *Server) report(model string, r allocator.Report, c *config.Config, now time.Time) allocator.Grant {
	nodes := len(ranked(model, s.members, c, now))
	grant := s.reportOn(model, func() []allocator.Group { return s.groups(model, now) }, r, c, nodes, now)
	grant.Interval = max(minInterval, time.Duration(nodes)*intervalPerNode)
	return grant
}

// reportOn takes in a report on a pool of those groups; expected is how many nodes share it.
func (s *Server) reportOn(model string, groups func() []allocator.Group, r allocator.Report, c *config.Config, expected int, now time.Time) allocator.Grant {
	p := s.pool(model, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = now
	if now.Sub(p.read) >= readEvery {
		p.read = now
		p.pool.SetGroups(groups())
	}
	grant := p.pool.Report(r, c.Share, expected, now)
	s.check(p, now)
	return grant
}

// check holds that no group has more places held than it has, for longer than a change may take to settle.
func (s *Server) check(p *lockedPool, now time.Time) {
	id, held, places, over := p.pool.Overcommitted()
	if !over {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	settled := allocator.GrantLifetime + 2*time.Second
	s.checker.Hold(invariant.PlacesHeld, !over || now.Sub(p.over) < settled, func() []any {
		return []any{"group", id, "held", held, "places", places}
	})
}

func (s *Server) groups(pool string, now time.Time) []allocator.Group {
	var out []allocator.Group
	if routing.IsServicePool(pool) {
		for _, e := range s.services.Endpoints(pool) {
			out = append(out, allocator.Group{ID: e.Name, Places: e.AtOnce()})
		}
		return out
	}
	for _, t := range s.router.Groups(pool, now) {
		out = append(out, allocator.Group{ID: t.Group, Birth: t.Birth, Places: t.Places})
	}
	return out
}

func (s *Server) pool(model string, now time.Time) *lockedPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[model]
	if !ok {
		since := s.near.since
		if routing.IsServicePool(model) {
			since = s.anywhere.since
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

func (p *lockedPool) idle(now time.Time) bool {
	if !p.mu.TryLock() {
		return false
	}
	defer p.mu.Unlock()
	return now.Sub(p.asked) > idlePool
}

// Waiting returns how many requests wait for each model that falls to this node.
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
