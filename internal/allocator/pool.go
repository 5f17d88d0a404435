// Package allocator divides the places of one model's replica groups among workspaces and entry nodes.
//
// A place is counted as held from the moment it is granted until the node has confirmed a later grant
// without it and reports no request on it, so two nodes never hold one place.
package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/shares"
)

// Lifetime is how long a node may use a grant after it asked for it.
const Lifetime = 10 * time.Second

// forgetMargin is added to Lifetime before a silent node's places are given to others.
const forgetMargin = time.Second

// WarmUp is how long a new allocator grants nothing beyond what nodes already use, unless all of them
// have reported: places granted by the allocator before it may still be in use. Nodes that use places
// report several times within it.
const WarmUp = 2 * time.Second

// Pool is the allocator's state for one model. It does no I/O and reads no clock.
type Pool struct {
	started time.Time
	groups  map[groupKey]*groupState
	nodes   map[string]*node
	order   []groupKey
	inOrder []*node   // by VM
	now     time.Time // of the report being answered
	waiting int       // requests that wait, at that time
}

// NewPool returns the state of an allocator whose model has fallen to this node since that instant.
func NewPool(since time.Time) *Pool {
	return &Pool{started: since, groups: make(map[groupKey]*groupState), nodes: make(map[string]*node)}
}

// SetGroups replaces the groups; places of groups that are gone are no longer granted.
func (p *Pool) SetGroups(groups []Group) {
	seen := make(map[groupKey]bool, len(groups))
	p.order = p.order[:0]
	for _, g := range groups {
		key := groupKey{g.ID, g.Birth}
		seen[key] = true
		state, ok := p.groups[key]
		if !ok {
			state = &groupState{held: p.heldOf(key)}
			p.groups[key] = state
		}
		state.places = g.Places
		p.order = append(p.order, key)
	}
	for key := range p.groups {
		if !seen[key] {
			delete(p.groups, key)
		}
	}
	slices.SortFunc(p.order, func(a, b groupKey) int { return cmp.Compare(a.id, b.id) })
}

// Report takes in a node's demand and returns its grant. share gives a workspace's weight;
// expected is how many nodes are live, which ends the warm-up early.
func (p *Pool) Report(r Report, share func(string) int, expected int, now time.Time) Grant {
	p.forget(now)
	n := p.node(r)
	n.heard = now
	p.takeIn(n, r)
	for _, s := range r.Speeds {
		if g, ok := p.groups[groupKey{s.Group, s.Birth}]; ok {
			g.speed.add(s, now)
		}
	}
	if len(r.Speeds) > 0 {
		p.judgeSpeeds()
	}
	sums := p.sums(n)
	p.now = now
	warm := now.Sub(p.started) >= WarmUp || len(p.nodes) >= expected
	targets := p.targets(sums, share)
	spare := p.spare()
	for _, workspace := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[workspace]
		wanted := sums[workspace].part(c, targets[workspace])
		if wanted >= c.demand {
			extra := min(c.spare, spare)
			wanted += extra
			spare -= extra
		}
		p.settle(n, c, wanted, warm)
	}
	n.number++
	return n.grant()
}

func (p *Pool) node(r Report) *node {
	n, ok := p.nodes[r.VM]
	if ok && n.incarnation == r.Incarnation {
		return n
	}
	if ok { // the process that held these places is gone, and its connections with it
		p.release(n)
	}
	n = &node{vm: r.VM, incarnation: r.Incarnation, claims: make(map[string]*claim)}
	p.nodes[r.VM] = n
	p.sortNodes()
	return n
}

func (p *Pool) sortNodes() {
	p.inOrder = slices.SortedFunc(maps.Values(p.nodes), func(a, b *node) int { return cmp.Compare(a.vm, b.vm) })
}

func (p *Pool) forget(now time.Time) {
	for vm, n := range p.nodes {
		if now.Sub(n.heard) > Lifetime+forgetMargin {
			p.release(n)
			delete(p.nodes, vm)
			p.sortNodes()
		}
	}
}

// sum is the demand of one workspace over all nodes.
type sum struct {
	total int
	ahead int // of the nodes before the one that reports
}

// sums adds up the demand of each workspace, and the waiting requests, seen from the node that reports.
func (p *Pool) sums(reporting *node) map[string]*sum {
	out := make(map[string]*sum)
	p.waiting = 0
	for _, n := range p.inOrder {
		for workspace, c := range n.claims {
			s, ok := out[workspace]
			if !ok {
				s = &sum{}
				out[workspace] = s
			}
			if n.vm < reporting.vm {
				s.ahead += c.demand
			}
			s.total += c.demand
			p.waiting += c.waiting
		}
	}
	return out
}

// targets divides all places among the workspaces.
func (p *Pool) targets(sums map[string]*sum, share func(string) int) map[string]int {
	names := slices.Sorted(maps.Keys(sums))
	wants := make([]shares.Want, len(names))
	for i, name := range names {
		wants[i] = shares.Want{Share: share(name), Places: sums[name].total}
	}
	out := make(map[string]int, len(names))
	for i, places := range shares.MaxMin(p.capacity(), wants) {
		out[names[i]] = places
	}
	return out
}

// capacity is how many places can be granted; of a slow group that is not worth using, those in use.
func (p *Pool) capacity() int {
	total := 0
	for _, g := range p.groups {
		if g.open(p.waiting, p.now) {
			total += g.places
		} else {
			total += min(g.held, g.places)
		}
	}
	return total
}

// spare is how many places may be lent ahead of demand: a quarter of the free ones.
func (p *Pool) spare() int {
	free := 0
	for _, g := range p.groups {
		free += max(0, g.places-g.held)
	}
	return free / spareDivisor
}

const spareDivisor = 4

// part is the claim's part of its workspace's target, in proportion to the demand of each node. Cumulative
// rounding gives every place to exactly one node.
func (s *sum) part(own *claim, target int) int {
	if s.total <= target {
		return own.demand
	}
	return (s.ahead+own.demand)*target/s.total - s.ahead*target/s.total
}

// Waiting returns how many requests wait over all nodes.
func (p *Pool) Waiting() int {
	total := 0
	for _, n := range p.nodes {
		for _, c := range n.claims {
			total += c.waiting
		}
	}
	return total
}

// Overheld returns a group that more places are held of than it has, for the invariant check.
// A group whose places were lowered, or that has just come back, may be over for a while.
func (p *Pool) Overheld() (id string, held, places int, over bool) {
	for _, key := range p.order {
		g := p.groups[key]
		if g.held > g.places && g.places > 0 {
			return key.id, g.held, g.places, true
		}
	}
	return "", 0, 0, false
}
