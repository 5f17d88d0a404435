// Package allocator divides the places of one model's replica groups among workspaces and entry nodes. One
// place lets one request run on a group; an entry node is a gateway that accepts requests of callers.
//
// A place counts as held from the moment it is granted until the node has confirmed a later grant without it
// and reports no request running on it, so two nodes never hold the same place.
package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/shares"
)

// GrantLifetime is how long a node may use a grant, counted from when it sent its report.
const GrantLifetime = 10 * time.Second

// expiryMargin is added to GrantLifetime before the places of a node that no longer reports are granted to others.
const expiryMargin = time.Second

// WarmUp is the time during which a new allocator grants no places beyond those that nodes already use, unless
// all nodes have reported: places granted by the previous allocator may still be in use. Nodes that use places
// report several times within WarmUp.
const WarmUp = 2 * time.Second

// Pool is the allocator's state for one model. It does no I/O and reads no clock.
type Pool struct {
	started      time.Time
	groups       map[groupKey]*groupState
	nodes        map[string]*node
	sortedGroups []groupKey
	sortedNodes  []*node   // sorted by VM
	now          time.Time // time of the report being handled
	waiting      int       // requests waiting on all nodes at that time
}

// NewPool returns an allocator without groups or nodes. since is when this node became the model's allocator.
func NewPool(since time.Time) *Pool {
	return &Pool{started: since, groups: make(map[groupKey]*groupState), nodes: make(map[string]*node)}
}

// SetGroups replaces the groups; places of groups that are no longer listed are not granted any more.
func (p *Pool) SetGroups(groups []Group) {
	seen := make(map[groupKey]bool, len(groups))
	p.sortedGroups = p.sortedGroups[:0]
	for _, g := range groups {
		key := groupKey{g.ID, g.Birth}
		seen[key] = true
		state, ok := p.groups[key]
		if !ok {
			state = &groupState{held: p.totalHeld(key)}
			p.groups[key] = state
		}
		state.places = g.Places
		p.sortedGroups = append(p.sortedGroups, key)
	}
	for key := range p.groups {
		if !seen[key] {
			delete(p.groups, key)
		}
	}
	slices.SortFunc(p.sortedGroups, func(a, b groupKey) int { return cmp.Compare(a.id, b.id) })
}

// Report records a node's demand and returns its grant. share returns a workspace's weight; expected is the
// number of live nodes: once that many have reported, the warm-up ends early.
func (p *Pool) Report(r Report, share func(string) int, expected int, now time.Time) Grant {
	p.expireNodes(now)
	n := p.nodeFor(r)
	n.lastReport = now
	p.applyReport(n, r)
	for _, s := range r.Speeds {
		if g, ok := p.groups[groupKey{s.Group, s.Birth}]; ok {
			g.speed.add(s, now)
		}
	}
	if len(r.Speeds) > 0 {
		p.classifySpeeds()
	}
	demands := p.demandByWorkspace(n)
	p.now = now
	warm := now.Sub(p.started) >= WarmUp || len(p.nodes) >= expected
	targets := p.targets(demands, share)
	spare := p.spare()
	for _, workspace := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[workspace]
		wanted := demands[workspace].nodeTarget(c, targets[workspace])
		if wanted >= c.demand {
			extra := min(c.spare, spare)
			wanted += extra
			spare -= extra
		}
		p.adjustLimits(n, c, wanted, warm)
	}
	n.lastGrant++
	return n.grant()
}

// nodeFor returns the state of the node that sent the report; it is new if the VM runs another process now.
func (p *Pool) nodeFor(r Report) *node {
	n, ok := p.nodes[r.VM]
	if ok && n.incarnation == r.Incarnation {
		return n
	}
	if ok { // a new process runs on the VM; the old one's requests ended with its connections
		p.releaseNode(n)
	}
	n = &node{vm: r.VM, incarnation: r.Incarnation, claims: make(map[string]*claim)}
	p.nodes[r.VM] = n
	p.sortNodes()
	return n
}

func (p *Pool) sortNodes() {
	p.sortedNodes = slices.SortedFunc(maps.Values(p.nodes), func(a, b *node) int { return cmp.Compare(a.vm, b.vm) })
}

// expireNodes removes the nodes whose last grant has expired.
func (p *Pool) expireNodes(now time.Time) {
	for vm, n := range p.nodes {
		if now.Sub(n.lastReport) > GrantLifetime+expiryMargin {
			p.releaseNode(n)
			delete(p.nodes, vm)
			p.sortNodes()
		}
	}
}

// workspaceDemand is the demand of one workspace over all nodes, in places.
type workspaceDemand struct {
	total     int
	preceding int // demand of the nodes that sort before the reporting node
}

// demandByWorkspace adds up the demand of each workspace for the reporting node, and counts the waiting requests
// in p.waiting.
func (p *Pool) demandByWorkspace(reporting *node) map[string]*workspaceDemand {
	out := make(map[string]*workspaceDemand)
	p.waiting = 0
	for _, n := range p.sortedNodes {
		for workspace, c := range n.claims {
			s, ok := out[workspace]
			if !ok {
				s = &workspaceDemand{}
				out[workspace] = s
			}
			if n.vm < reporting.vm {
				s.preceding += c.demand
			}
			s.total += c.demand
			p.waiting += c.waiting
		}
	}
	return out
}

// targets divides all places among the workspaces and returns the number of places of each.
func (p *Pool) targets(demands map[string]*workspaceDemand, share func(string) int) map[string]int {
	names := slices.Sorted(maps.Keys(demands))
	requested := make([]shares.Demand, len(names))
	for i, name := range names {
		requested[i] = shares.Demand{Share: share(name), Places: demands[name].total}
	}
	out := make(map[string]int, len(names))
	for i, places := range shares.MaxMin(p.capacity(), requested) {
		out[names[i]] = places
	}
	return out
}

// capacity returns how many places can be granted. A slow group that is not worth using counts only with the
// places in use.
func (p *Pool) capacity() int {
	total := 0
	for _, g := range p.groups {
		if g.grantable(p.waiting, p.now) {
			total += g.places
		} else {
			total += min(g.held, g.places)
		}
	}
	return total
}

// spare returns how many places may be granted beyond demand: a quarter of the free ones.
func (p *Pool) spare() int {
	free := 0
	for _, g := range p.groups {
		free += max(0, g.places-g.held)
	}
	return free / spareDivisor
}

const spareDivisor = 4

// nodeTarget returns the reporting node's part of the workspace's target, in proportion to the demand of each
// node. Rounding the cumulative sums assigns each place to exactly one node.
func (s *workspaceDemand) nodeTarget(own *claim, target int) int {
	if s.total <= target {
		return own.demand
	}
	return (s.preceding+own.demand)*target/s.total - s.preceding*target/s.total
}

// Waiting returns how many requests wait on all nodes.
func (p *Pool) Waiting() int {
	total := 0
	for _, n := range p.nodes {
		for _, c := range n.claims {
			total += c.waiting
		}
	}
	return total
}

// Overcommitted returns a group of which more places are held than it has, for the invariant check. A group
// whose places were lowered, or that has just been listed again, may be overcommitted for a while.
func (p *Pool) Overcommitted() (id string, held, places int, over bool) {
	for _, key := range p.sortedGroups {
		g := p.groups[key]
		if g.held > g.places && g.places > 0 {
			return key.id, g.held, g.places, true
		}
	}
	return "", 0, 0, false
}
