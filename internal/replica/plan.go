package replica

import (
	"fmt"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/config"
)

// Change says why a plan differs from the assignment before it.
type Change struct {
	Group  string
	Reason string
}

// Plan returns the assignment that should follow a, and why; no changes mean a stands.
// The caller writes it under its lease and gives it the next generation first: births in the
// returned assignment are that generation.
func Plan(a *Assignment, v View, m *Memory, p Policy) (*Assignment, []Change) {
	m.observe(a, v, p)
	pl := planner{next: a.Clone(), view: v, memory: m, policy: p, loads: v.Loads}
	pl.next.Generation = a.Generation + 1
	pl.promote()
	pl.breakDrained()
	pl.dropSurplus()
	pl.drainLeaving()
	pl.mendLosses()
	pl.roll()
	pl.form()
	if pl.policy.Wait == WaitLearned {
		pl.warm()
	}
	pl.next.Free = len(pl.free())
	if len(pl.changes) == 0 && pl.next.Free == a.Free {
		return a, nil
	}
	if len(pl.changes) == 0 {
		pl.note("", "free VMs are now %d", pl.next.Free)
	}
	return pl.next, pl.changes
}

type planner struct {
	next    *Assignment
	view    View
	memory  *Memory
	policy  Policy
	loads   int
	changes []Change
}

func (pl *planner) note(group, format string, args ...any) {
	pl.changes = append(pl.changes, Change{group, fmt.Sprintf(format, args...)})
}

// Whole reports whether every VM of the group says it is ready in it.
func Whole(g *Group, vms map[string]VMView, now time.Time, limit time.Duration) bool {
	for _, vm := range g.VMs {
		v := vms[vm]
		if v.silent(now, limit) || !v.State.InGroup(g.ID, g.Birth, g.Model, g.Version) || !v.State.Ready {
			return false
		}
	}
	return true
}

// promote marks the groups that have become whole.
func (pl *planner) promote() {
	for _, g := range pl.next.Groups {
		if g.State == Forming && Whole(g, pl.view.VMs, pl.view.Now, pl.policy.LossAfter) {
			g.State = Serving
			g.Served = true
			pl.note(g.ID, "whole")
		}
	}
}

// roll replaces groups of outdated versions: by a new group first where VMs are free, else by taking
// one out at a time.
func (pl *planner) roll() {
	for _, g := range pl.next.Groups {
		m, declared := pl.view.Models[g.Model]
		if !declared || g.State == Draining || g.current(m.Model) {
			continue
		}
		if g.State == Forming {
			pl.reshape(g, m.Model)
			continue
		}
		if pl.onTheMove(m.Name) {
			continue
		}
		if pl.formOne(m) {
			return
		}
		if pl.view.MayRoll == nil || pl.view.MayRoll(g) {
			pl.drain(g, "version "+m.Version+" takes its place")
			return
		}
	}
}

// onTheMove reports whether a group of the model is on its way in or out of use here.
func (pl *planner) onTheMove(model string) bool {
	return slices.ContainsFunc(pl.next.Groups, func(g *Group) bool { return g.Model == model && g.State != Serving })
}

// reshape gives a group that does not serve yet the declared version at once.
func (pl *planner) reshape(g *Group, m config.Model) {
	if len(g.VMs) != m.VMsPerReplica {
		pl.next.remove(g.ID)
		pl.note(g.ID, "broken up: its model now takes %d VMs", m.VMsPerReplica)
		return
	}
	g.Version, g.Adapters, g.Places = m.Version, slices.Clone(m.Adapters), m.PlacesPerReplica
	g.Birth = pl.next.Generation
	pl.note(g.ID, "forming with version %s", m.Version)
}

// form builds wanted groups from free VMs.
func (pl *planner) form() {
	for _, name := range pl.view.Add {
		if m, ok := pl.view.Models[name]; ok {
			pl.formOne(m)
		}
	}
}

// formOne builds one group if the VMs and the weight store's rate allow it.
func (pl *planner) formOne(m config.ModelOf) bool {
	if pl.loads < m.VMsPerReplica {
		return false
	}
	vms := pl.pick(m.Model)
	if vms == nil {
		return false
	}
	pl.loads -= len(vms)
	pl.next.NextGroup++
	g := &Group{
		ID: fmt.Sprintf("%s-%d", pl.next.Domain, pl.next.NextGroup), Workspace: m.Workspace,
		Model: m.Name, Version: m.Version, Adapters: slices.Clone(m.Adapters),
		Places: m.PlacesPerReplica, VMs: vms, Birth: pl.next.Generation, State: Forming,
	}
	pl.next.Groups = append(pl.next.Groups, g)
	pl.note(g.ID, "formed for %s", m.Name)
	return true
}

// pick returns the VMs of a new group, those that hold the weights first, or nil when too few are free.
func (pl *planner) pick(m config.Model) []string {
	free := pl.free()
	if len(free) < m.VMsPerReplica {
		return nil
	}
	pl.warmFirst(free, m.Name, m.Version)
	return free[:m.VMsPerReplica]
}

// warmFirst puts the VMs that hold a model's weights first.
func (pl *planner) warmFirst(vms []string, model, version string) {
	slices.SortStableFunc(vms, func(a, b string) int {
		return pl.holds(b, model, version) - pl.holds(a, model, version)
	})
}

// holds is 1 when the VM holds the model's weights and 0 when not, to be counted and sorted by.
func (pl *planner) holds(vm, model, version string) int {
	s := pl.view.VMs[vm].State
	if s.Model == model && s.Version == version {
		return 1
	}
	return 0
}

// free returns the usable VMs that are in no group, in the domain's order.
func (pl *planner) free() []string {
	var out []string
	for _, vm := range pl.view.Domain.VMs {
		if pl.next.GroupOf(vm.Name) != nil || !pl.view.VMs[vm.Name].usable(pl.view.Now, pl.policy.LossAfter) {
			continue
		}
		out = append(out, vm.Name)
	}
	return out
}
