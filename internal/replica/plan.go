package replica

import (
	"fmt"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/config"
)

// Change describes one difference between a plan and the assignment before it.
type Change struct {
	Group  string
	Reason string
}

// Plan returns the assignment that should follow a and the changes with their reasons; without changes it returns
// a itself. The caller writes the result under its lease, with the generation after a's: the Birth of each group
// changed by this plan is that generation.
func Plan(a *Assignment, v View, m *Memory, p Policy) (*Assignment, []Change) {
	m.observe(a, v, p)
	pl := planner{next: a.Clone(), view: v, memory: m, policy: p, loads: v.Loads}
	pl.next.Generation = a.Generation + 1
	pl.markServing()
	pl.removeDrained()
	pl.dropSurplus()
	pl.drainGroupsWithLeavingVMs()
	pl.replaceLostVMs()
	pl.replaceOutdated()
	pl.formGroups()
	if pl.policy.Wait == WaitLearned {
		pl.assignSpares()
	}
	pl.next.Free = len(pl.freeVMs())
	if len(pl.changes) == 0 && pl.next.Free == a.Free {
		return a, nil
	}
	if len(pl.changes) == 0 {
		pl.recordChange("", "number of free VMs is now %d", pl.next.Free)
	}
	return pl.next, pl.changes
}

type planner struct {
	next    *Assignment
	view    View
	memory  *Memory
	policy  Policy
	loads   int // VM loads that this plan may still start
	changes []Change
}

func (pl *planner) recordChange(group, format string, args ...any) {
	pl.changes = append(pl.changes, Change{group, fmt.Sprintf(format, args...)})
}

// AllVMsReady reports whether every VM of the group has answered within limit and reports that it is ready in the group.
func AllVMsReady(g *Group, vms map[string]VMView, now time.Time, limit time.Duration) bool {
	for _, vm := range g.VMs {
		v := vms[vm]
		if v.silent(now, limit) || !v.State.InGroup(g.ID, g.Birth, g.Model, g.Version) || !v.State.Ready {
			return false
		}
	}
	return true
}

// markServing moves forming groups whose VMs are all ready to Serving.
func (pl *planner) markServing() {
	for _, g := range pl.next.Groups {
		if g.State == Forming && AllVMsReady(g, pl.view.VMs, pl.view.Now, pl.policy.LossAfter) {
			g.State = Serving
			g.Served = true
			pl.recordChange(g.ID, "whole")
		}
	}
}

// replaceOutdated replaces groups that no longer match their model's declaration. Where enough VMs are free, a new
// group is formed first; otherwise one outdated group at a time is drained.
func (pl *planner) replaceOutdated() {
	for _, g := range pl.next.Groups {
		m, declared := pl.view.Models[g.Model]
		if !declared || g.State == Draining || g.current(m.Model) {
			continue
		}
		if g.State == Forming {
			pl.updateForming(g, m.Model)
			continue
		}
		if pl.inTransition(m.Name) {
			continue
		}
		if pl.formGroup(m) {
			return
		}
		if pl.view.MayRoll == nil || pl.view.MayRoll(g) {
			pl.drain(g, "version "+m.Version+" takes its place")
			return
		}
	}
}

// inTransition reports whether a group of the model is forming or draining in this domain.
func (pl *planner) inTransition(model string) bool {
	return slices.ContainsFunc(pl.next.Groups, func(g *Group) bool { return g.Model == model && g.State != Serving })
}

// updateForming changes a group that is still forming to the declared version, or breaks it up if the number of VMs
// has changed.
func (pl *planner) updateForming(g *Group, m config.Model) {
	if len(g.VMs) != m.VMsPerReplica {
		pl.next.remove(g.ID)
		pl.recordChange(g.ID, "broken up: its model now takes %d VMs", m.VMsPerReplica)
		return
	}
	g.Version, g.Adapters, g.Places = m.Version, slices.Clone(m.Adapters), m.PlacesPerReplica
	g.Birth = pl.next.Generation
	pl.recordChange(g.ID, "forming with version %s", m.Version)
}

// formGroups forms the groups requested by View.Add from free VMs.
func (pl *planner) formGroups() {
	for _, name := range pl.view.Add {
		if m, ok := pl.view.Models[name]; ok {
			pl.formGroup(m)
		}
	}
}

// formGroup forms one group if enough VMs are free and the weight store's rate allows the loads.
func (pl *planner) formGroup(m config.ModelOf) bool {
	if pl.loads < m.VMsPerReplica {
		return false
	}
	vms := pl.pickVMs(m.Model)
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
	pl.recordChange(g.ID, "formed for %s", m.Name)
	return true
}

// pickVMs returns the VMs for a new group, preferring those that hold the weights, or nil if too few are free.
func (pl *planner) pickVMs(m config.Model) []string {
	free := pl.freeVMs()
	if len(free) < m.VMsPerReplica {
		return nil
	}
	pl.sortWarmFirst(free, m.Name, m.Version)
	return free[:m.VMsPerReplica]
}

// sortWarmFirst sorts the VMs that hold the model's weights to the front.
func (pl *planner) sortWarmFirst(vms []string, model, version string) {
	slices.SortStableFunc(vms, func(a, b string) int {
		return pl.weightsHeld(b, model, version) - pl.weightsHeld(a, model, version)
	})
}

// weightsHeld returns 1 if the VM holds the model's weights and 0 otherwise, for counting and sorting.
func (pl *planner) weightsHeld(vm, model, version string) int {
	s := pl.view.VMs[vm].State
	if s.Model == model && s.Version == version {
		return 1
	}
	return 0
}

// freeVMs returns the usable VMs that are in no group, in the order in which the domain declares them.
func (pl *planner) freeVMs() []string {
	var out []string
	for _, vm := range pl.view.Domain.VMs {
		if pl.next.GroupOf(vm.Name) != nil || !pl.view.VMs[vm.Name].usable(pl.view.Now, pl.policy.LossAfter) {
			continue
		}
		out = append(out, vm.Name)
	}
	return out
}
