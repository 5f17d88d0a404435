// Package routing knows the replica groups that requests may be sent to now.
package routing

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/replica"
)

// tableFor is how long a built table is used; evidence is checked at each use all the same.
const tableFor = 50 * time.Millisecond

// Router finds targets.
type Router struct {
	drains  *drains.Book
	book    *domains.Book
	looks   *evidence.Table
	current func() *config.Config

	mu     sync.Mutex
	built  time.Time
	table  *table
	health map[targetKey]*health
}

type targetKey struct {
	group string
	birth int64
}

// table is one reading of all assignments.
type table struct {
	byKey   map[targetKey]Target
	byModel map[string][]Target
}

// New returns a Router over what the node knows.
func New(d *drains.Book, book *domains.Book, looks *evidence.Table, current func() *config.Config) *Router {
	return &Router{drains: d, book: book, looks: looks, current: current, health: make(map[targetKey]*health)}
}

// Target returns the target of a group if it may be used now.
func (r *Router) Target(group string, birth int64, now time.Time) (Target, bool) {
	t, ok := r.read(now).byKey[targetKey{group, birth}]
	return t, ok && r.live(t, now)
}

// Groups returns the model's targets; those that may not be used now have no places.
func (r *Router) Groups(model string, now time.Time) []Target {
	var out []Target
	for _, t := range r.read(now).byModel[model] {
		if !r.live(t, now) {
			t.Places = 0
		}
		out = append(out, t)
	}
	return out
}

// WholeUntil returns until when evidence says that all the target's VMs are present, zero for no evidence.
func (r *Router) WholeUntil(t Target) time.Time {
	g, ok := r.looks.Group(t.Domain, t.Group, t.Birth)
	if !ok {
		return time.Time{}
	}
	return g.Expires
}

// live reports whether evidence says that all the group's VMs are present.
func (r *Router) live(t Target, now time.Time) bool {
	return now.Before(r.WholeUntil(t))
}

// Usable implements admission.Chooser.
func (r *Router) Usable(group string, birth int64, now time.Time) bool {
	_, ok := r.Target(group, birth, now)
	return ok
}

// Ejected implements admission.Chooser: groups that keep failing this node's requests are left alone for a
// while, unless more than half of the model's groups do, and those that have asked for a pause in any case.
func (r *Router) Ejected(model string, now time.Time) []allocator.Ref {
	var refs []allocator.Ref
	for _, t := range r.read(now).byModel[model] {
		refs = append(refs, allocator.Ref{Group: t.Group, Birth: t.Birth})
	}
	return leftAlone(refs, func(ref allocator.Ref) *health { return r.of(ref.Group, ref.Birth) }, now)
}

// TakeSpeeds implements admission.Chooser.
func (r *Router) TakeSpeeds(model string, now time.Time) []allocator.Speed {
	var out []allocator.Speed
	for _, t := range r.read(now).byModel[model] {
		s := r.of(t.Group, t.Birth).take()
		if s.Requests > 0 {
			s.Group, s.Birth = t.Group, t.Birth
			out = append(out, s)
		}
	}
	return out
}

// Failed notes that the group failed a request.
func (r *Router) Failed(group string, birth int64) { r.of(group, birth).fail(clock.Now()) }

// AskedToPause notes that the group has asked this node for a pause of that length.
func (r *Router) AskedToPause(group string, birth int64, pause time.Duration) {
	r.of(group, birth).pause(clock.Now().Add(pause))
}

// PauseLeft returns how long until the first pause ends, if all of the model's usable groups have asked for one, and else zero.
func (r *Router) PauseLeft(model string, now time.Time) time.Duration {
	var usable []*health
	for _, t := range r.read(now).byModel[model] {
		if r.live(t, now) {
			usable = append(usable, r.of(t.Group, t.Birth))
		}
	}
	return leastPause(usable, now)
}

// Succeeded notes how long the group took to its first token and in all.
func (r *Router) Succeeded(group string, birth int64, firstToken, service time.Duration) {
	r.of(group, birth).succeed(firstToken, service)
}

func (r *Router) of(group string, birth int64) *health {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := targetKey{group, birth}
	h, ok := r.health[key]
	if !ok {
		h = &health{}
		r.health[key] = h
	}
	return h
}

func (r *Router) read(now time.Time) *table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && now.Sub(r.built) < tableFor {
		return r.table
	}
	r.table, r.built = r.build(), now
	for key := range r.health {
		if _, ok := r.table.byKey[key]; !ok {
			delete(r.health, key)
		}
	}
	return r.table
}

func (r *Router) build() *table {
	t := &table{byKey: make(map[targetKey]Target), byModel: make(map[string][]Target)}
	c := r.current()
	if c == nil {
		return t
	}
	drained := r.drains.Read()
	for _, a := range r.book.All() {
		d, ok := c.Domains()[a.Domain]
		if !ok {
			continue
		}
		for _, g := range a.Groups {
			if g.State == replica.Draining || anyDrained(g, drained) {
				continue
			}
			target := Target{g.ID, g.Birth, a.Domain, g.Model, g.Workspace, g.Places, addressOf(d, g.VMs[0])}
			t.byKey[targetKey{g.ID, g.Birth}] = target
			t.byModel[g.Model] = append(t.byModel[g.Model], target)
		}
	}
	return t
}

func anyDrained(g *replica.Group, d drains.Drains) bool {
	for _, vm := range g.VMs {
		if d.Has(vm) {
			return true
		}
	}
	return false
}

func addressOf(d config.DomainOf, vm string) string {
	for _, v := range d.VMs {
		if v.Name == vm {
			return v.Address
		}
	}
	return ""
}
