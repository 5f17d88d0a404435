// Package routing determines to which replica groups and endpoints of plain services, which serve no model,
// requests may be sent now.
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

// tableLifetime is how long a table is reused before it is rebuilt. The evidence that a group's VMs are present is
// nevertheless checked at each use.
const tableLifetime = 50 * time.Millisecond

// Router selects the replica groups that requests may be sent to.
type Router struct {
	drains      *drains.Reader
	assignments *domains.Reader
	evidence    *evidence.Table
	current     func() *config.Config

	mu      sync.Mutex
	builtAt time.Time
	table   *table
	health  map[targetKey]*health
}

type targetKey struct {
	group string
	birth int64
}

// table holds the targets from one reading of all assignments.
type table struct {
	byKey   map[targetKey]Target
	byModel map[string][]Target
}

// New returns a Router that uses the node's drains, assignments, evidence and current configuration.
func New(d *drains.Reader, assignments *domains.Reader, evidenceTable *evidence.Table, current func() *config.Config) *Router {
	return &Router{drains: d, assignments: assignments, evidence: evidenceTable, current: current, health: make(map[targetKey]*health)}
}

// Target returns the target of a group and whether requests may be sent to it now.
func (r *Router) Target(group string, birth int64, now time.Time) (Target, bool) {
	t, ok := r.currentTable(now).byKey[targetKey{group, birth}]
	return t, ok && r.allPresent(t, now)
}

// Groups returns the model's targets. Those that may not be used now have zero Places.
func (r *Router) Groups(model string, now time.Time) []Target {
	var out []Target
	for _, t := range r.currentTable(now).byModel[model] {
		if !r.allPresent(t, now) {
			t.Places = 0
		}
		out = append(out, t)
	}
	return out
}

// AllPresentUntil returns the time until which there is evidence that all VMs of the target are present, or the
// zero time if there is no evidence.
func (r *Router) AllPresentUntil(t Target) time.Time {
	g, ok := r.evidence.Group(t.Domain, t.Group, t.Birth)
	if !ok {
		return time.Time{}
	}
	return g.Expires
}

// LeaderBoot returns a hash of the boot ID of the target's leader, zero if there is no evidence of it.
func (r *Router) LeaderBoot(t Target) uint32 {
	g, _ := r.evidence.Group(t.Domain, t.Group, t.Birth)
	return g.LeaderBoot
}

// Knows reports whether the group is in use with that birth number.
func (r *Router) Knows(group string, birth int64, now time.Time) bool {
	_, ok := r.currentTable(now).byKey[targetKey{group, birth}]
	return ok
}

// Assigned reports whether the assignments still contain the group with that birth number, also if it is draining and gets no new requests.
func (r *Router) Assigned(group string, birth int64) bool {
	for _, a := range r.assignments.All() {
		for _, g := range a.Groups {
			if g.ID == group && g.Birth == birth {
				return true
			}
		}
	}
	return false
}

// allPresent reports whether there is evidence that all VMs of the group are present.
func (r *Router) allPresent(t Target, now time.Time) bool {
	return now.Before(r.AllPresentUntil(t))
}

// Usable implements admission.Chooser.
func (r *Router) Usable(group string, birth int64, now time.Time) bool {
	_, ok := r.Target(group, birth, now)
	return ok
}

// Ejected implements admission.Chooser. It returns the groups that have requested a pause, and those that keep
// failing requests of this node unless more than half of the model's groups without a pause do.
func (r *Router) Ejected(model string, now time.Time) []allocator.Ref {
	var refs []allocator.Ref
	for _, t := range r.currentTable(now).byModel[model] {
		refs = append(refs, allocator.Ref{Group: t.Group, Birth: t.Birth})
	}
	return ejectedRefs(refs, func(ref allocator.Ref) *health { return r.healthOf(ref.Group, ref.Birth) }, now)
}

// TakeSpeeds implements admission.Chooser.
func (r *Router) TakeSpeeds(model string, now time.Time) []allocator.Speed {
	var out []allocator.Speed
	for _, t := range r.currentTable(now).byModel[model] {
		s := r.healthOf(t.Group, t.Birth).takeSpeed()
		if s.Requests > 0 {
			s.Group, s.Birth = t.Group, t.Birth
			out = append(out, s)
		}
	}
	return out
}

// RecordFailure records that the group failed a request.
func (r *Router) RecordFailure(group string, birth int64) {
	r.healthOf(group, birth).recordFailure(clock.Now())
}

// RecordPause records that the group has requested a pause of the given length from this node.
func (r *Router) RecordPause(group string, birth int64, pause time.Duration) {
	r.healthOf(group, birth).recordPause(clock.Now().Add(pause))
}

// RemainingPause returns the time until the first pause ends if all usable groups of the model have requested one,
// and zero otherwise.
func (r *Router) RemainingPause(model string, now time.Time) time.Duration {
	var usable []*health
	for _, t := range r.currentTable(now).byModel[model] {
		if r.allPresent(t, now) {
			usable = append(usable, r.healthOf(t.Group, t.Birth))
		}
	}
	return shortestPause(usable, now)
}

// RecordSuccess records how long the group took to answer a request, until the first token and in total.
func (r *Router) RecordSuccess(group string, birth int64, firstToken, service time.Duration) {
	r.healthOf(group, birth).recordSuccess(firstToken, service)
}

func (r *Router) healthOf(group string, birth int64) *health {
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

func (r *Router) currentTable(now time.Time) *table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && now.Sub(r.builtAt) < tableLifetime {
		return r.table
	}
	r.table, r.builtAt = r.buildTable(), now
	for key := range r.health {
		if _, ok := r.table.byKey[key]; !ok {
			delete(r.health, key)
		}
	}
	return r.table
}

func (r *Router) buildTable() *table {
	t := &table{byKey: make(map[targetKey]Target), byModel: make(map[string][]Target)}
	c := r.current()
	if c == nil {
		return t
	}
	drained := r.drains.Read()
	for _, a := range r.assignments.All() {
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
