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
	now     time.Time // of the report being answered
	waiting int       // requests that wait, at that time
}

type groupState struct {
	places     int
	held       int // by all nodes and workspaces
	speed      speed
	slow       bool
	worthwhile int // how many requests must wait before a slow group is used
}

type node struct {
	incarnation string
	heard       time.Time
	number      uint64 // last grant sent
	claims      map[string]*claim
	avoid       []Ref
}

// claim is what one workspace holds at one node.
type claim struct {
	waiting int
	reserve int
	spare   int
	wishes  []Places
	running map[groupKey]int
	limit   map[groupKey]int // as last sent
	held    map[groupKey]int // what the node may be using at most
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

func (p *Pool) heldOf(key groupKey) int {
	total := 0
	for _, n := range p.nodes {
		for _, c := range n.claims {
			total += c.held[key]
		}
	}
	return total
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
	p.judgeSpeeds()
	p.now, p.waiting = now, p.Waiting()
	warm := now.Sub(p.started) >= WarmUp || len(p.nodes) >= expected
	targets := p.targets(share)
	spare := p.spare()
	for _, workspace := range slices.Sorted(maps.Keys(n.claims)) {
		c := n.claims[workspace]
		wanted := p.part(workspace, c, targets[workspace])
		if wanted >= c.real() {
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
	n = &node{incarnation: r.Incarnation, claims: make(map[string]*claim)}
	p.nodes[r.VM] = n
	return n
}

func (p *Pool) forget(now time.Time) {
	for vm, n := range p.nodes {
		if now.Sub(n.heard) > Lifetime+forgetMargin {
			p.release(n)
			delete(p.nodes, vm)
		}
	}
}

func (p *Pool) release(n *node) {
	for _, c := range n.claims {
		for key, held := range c.held {
			p.addHeld(key, -held)
		}
	}
}

func (p *Pool) addHeld(key groupKey, n int) {
	if g, ok := p.groups[key]; ok {
		g.held += n
	}
}

// takeIn replaces what is known of the node by its report.
func (p *Pool) takeIn(n *node, r Report) {
	confirmed := r.Grant == n.number
	n.avoid = r.Avoid
	mentioned := make(map[string]bool, len(r.Workspaces))
	for _, d := range r.Workspaces {
		mentioned[d.Workspace] = true
		c, ok := n.claims[d.Workspace]
		if !ok {
			c = &claim{limit: make(map[groupKey]int), held: make(map[groupKey]int)}
			n.claims[d.Workspace] = c
		}
		c.waiting, c.reserve, c.spare, c.wishes = d.Waiting, d.Reserve, d.Spare, d.Wishes
		c.running = make(map[groupKey]int, len(d.Running))
		for _, places := range d.Running {
			c.running[groupKey{places.Group, places.Birth}] = places.Count
		}
		p.reconcile(c, confirmed)
	}
	for workspace, c := range n.claims {
		if mentioned[workspace] {
			continue
		}
		c.waiting, c.reserve, c.spare, c.running, c.wishes = 0, 0, 0, nil, nil
		p.reconcile(c, confirmed)
		if len(c.held) == 0 && len(c.limit) == 0 {
			delete(n.claims, workspace)
		}
	}
}

// reconcile updates what the node may hold: the confirmed limit, or what still runs beyond it.
func (p *Pool) reconcile(c *claim, confirmed bool) {
	touched := make(map[groupKey]bool, len(c.held)+len(c.running))
	for key := range c.held {
		touched[key] = true
	}
	for key := range c.running {
		touched[key] = true
	}
	for key := range touched {
		held := max(c.limit[key], c.running[key])
		if !confirmed {
			held = max(held, c.held[key])
		}
		p.setHeld(c, key, held)
	}
}

func (p *Pool) setHeld(c *claim, key groupKey, held int) {
	p.addHeld(key, held-c.held[key])
	if held == 0 {
		delete(c.held, key)
		return
	}
	c.held[key] = held
}

// real is how many places the claim could use now or needed a moment ago. A place that is lent the moment
// it falls idle comes back only after the borrower's request, so the next request would wait that long.
func (c *claim) real() int {
	n := c.waiting + c.reserve
	for _, r := range c.running {
		n += r
	}
	return n
}

// targets divides all places among the workspaces.
func (p *Pool) targets(share func(string) int) map[string]int {
	totals := make(map[string]int)
	for _, n := range p.nodes {
		for workspace, c := range n.claims {
			totals[workspace] += c.real()
		}
	}
	names := slices.Sorted(maps.Keys(totals))
	wants := make([]shares.Want, len(names))
	for i, name := range names {
		wants[i] = shares.Want{Share: share(name), Places: totals[name]}
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

// part is the claim's part of its workspace's target, in proportion to the demand of each node.
func (p *Pool) part(workspace string, own *claim, target int) int {
	total := 0
	ahead := 0
	for _, vm := range slices.Sorted(maps.Keys(p.nodes)) {
		c, ok := p.nodes[vm].claims[workspace]
		if !ok {
			continue
		}
		if c == own {
			ahead = total
		}
		total += c.real()
	}
	if total <= target {
		return own.real()
	}
	// Cumulative rounding gives every place to exactly one node.
	return (ahead+own.real())*target/total - ahead*target/total
}

// settle moves the claim's limits towards wanted places.
func (p *Pool) settle(n *node, c *claim, wanted int, warm bool) {
	have := 0
	for key, limit := range c.limit {
		g, ok := p.groups[key]
		if ok && !g.open(p.waiting, p.now) {
			have += c.running[key] // they end, and are not used again
			delete(c.limit, key)
			continue
		}
		if !ok || g.places == 0 || n.avoids(key) {
			delete(c.limit, key)
			continue
		}
		have += limit
	}
	if have > wanted {
		p.shrink(c, have-wanted)
	}
	have = p.favour(n, c, min(have, wanted), wanted, warm)
	if have < wanted {
		p.grow(n, c, wanted-have, warm)
	}
	for key, limit := range c.limit {
		p.setHeld(c, key, max(c.held[key], limit))
	}
}

// shrink takes idle places back first, from the fullest groups; then places that will fall idle.
func (p *Pool) shrink(c *claim, n int) {
	for _, idleOnly := range []bool{true, false} {
		for n > 0 {
			key, ok := p.fullest(c, idleOnly)
			if !ok {
				break
			}
			c.limit[key]--
			n--
			if c.limit[key] == 0 {
				delete(c.limit, key)
			}
		}
	}
}

func (p *Pool) fullest(c *claim, idleOnly bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.order {
		limit := c.limit[key]
		if limit == 0 || idleOnly && limit <= c.running[key] {
			continue
		}
		if !found || p.load(key) > p.load(best) {
			best, found = key, true
		}
	}
	return best, found
}

// grow grants free places of the emptiest groups.
func (p *Pool) grow(n *node, c *claim, more int, warm bool) {
	for ; more > 0; more-- {
		key, ok := p.emptiest(n, c, warm)
		if !ok {
			return
		}
		c.limit[key]++
		if c.limit[key] > c.held[key] {
			p.setHeld(c, key, c.limit[key])
		}
	}
}

func (p *Pool) emptiest(n *node, c *claim, warm bool) (groupKey, bool) {
	var best groupKey
	found := false
	for _, key := range p.order {
		g := p.groups[key]
		ours := c.held[key] > c.limit[key] // held already: granting it again costs nobody
		if !ours && (g.held >= g.places || !warm) || g.places == 0 || n.avoids(key) || !g.open(p.waiting, p.now) {
			continue
		}
		if !found || p.load(key) < p.load(best) {
			best, found = key, true
		}
	}
	return best, found
}

// load is the held part of a group's places.
func (p *Pool) load(key groupKey) float64 {
	g := p.groups[key]
	return float64(g.held) / float64(max(1, g.places))
}

func (n *node) avoids(key groupKey) bool {
	return slices.Contains(n.avoid, Ref{key.id, key.birth})
}

func (n *node) grant() Grant {
	out := Grant{Number: n.number}
	for _, workspace := range slices.Sorted(maps.Keys(n.claims)) {
		w := WorkspaceGrant{Workspace: workspace}
		c := n.claims[workspace]
		for key, limit := range c.limit {
			w.Limits = append(w.Limits, Places{key.id, key.birth, limit})
		}
		slices.SortFunc(w.Limits, func(a, b Places) int { return cmp.Compare(a.Group, b.Group) })
		out.Workspaces = append(out.Workspaces, w)
	}
	return out
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
