package replica

import (
	"fmt"
	"slices"
	"strings"
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

// breakDrained breaks up the draining groups that have finished.
func (pl *planner) breakDrained() {
	for _, g := range slices.Clone(pl.next.Groups) {
		if g.State != Draining {
			continue
		}
		since := pl.view.Now.Sub(pl.memory.drainSince[g.ID])
		if since < pl.policy.DrainFloor {
			continue
		}
		leader := pl.view.VMs[g.VMs[0]]
		idle := !leader.silent(pl.view.Now, pl.policy.LossAfter) && leader.State.Running+leader.State.Waiting == 0
		dead := leader.silent(pl.view.Now, pl.policy.LossAfter) || leader.Gone
		if idle || dead || since > pl.policy.DrainLimit {
			pl.next.remove(g.ID)
			pl.note(g.ID, "drained, broken up")
		}
	}
}

func (pl *planner) drain(g *Group, reason string) {
	if g.State == Draining {
		return
	}
	g.State = Draining
	g.Reason = reason
	pl.note(g.ID, "draining: %s", reason)
}

// dropSurplus drains groups of models that are no longer declared or have too many groups.
func (pl *planner) dropSurplus() {
	for _, g := range pl.next.Groups {
		if _, declared := pl.view.Models[g.Model]; !declared {
			pl.drain(g, "the model is no longer declared")
		} else if slices.Contains(pl.view.Drop, g.ID) {
			pl.drain(g, "others are due its VMs")
		}
	}
}

// drainLeaving drains groups with a VM that is on its way out, once a group can take their place
// or the VM has gone.
func (pl *planner) drainLeaving() {
	for _, g := range pl.next.Groups {
		for _, vm := range g.VMs {
			if pl.view.VMs[vm].Leaving {
				pl.drain(g, "VM "+vm+" is leaving")
			}
		}
	}
}

// mendLosses replaces lost VMs by spares, or breaks groups whose loss will not be waited out.
func (pl *planner) mendLosses() {
	for _, g := range slices.Clone(pl.next.Groups) {
		if g.State == Draining {
			continue
		}
		lost, longest := pl.lostOf(g)
		if len(lost) == 0 {
			continue
		}
		pl.mend(g, lost, longest)
	}
}

func (pl *planner) lostOf(g *Group) (lost []string, longest time.Duration) {
	for _, vm := range g.VMs {
		state := pl.view.VMs[vm]
		if state.Gone {
			lost = append(lost, vm)
			longest = pl.policy.MaxWait
			continue
		}
		since, ok := pl.memory.lostSince[vm]
		if !ok {
			continue
		}
		lost = append(lost, vm)
		longest = max(longest, pl.view.Now.Sub(since))
	}
	return lost, longest
}

func (pl *planner) mend(g *Group, lost []string, longest time.Duration) {
	limit := pl.memory.pauses.waitLimit(pl.memory.reloadTime(pl.policy), pl.policy.MaxWait)
	if longest < limit {
		return
	}
	spares := pl.free()
	if len(spares) >= len(lost) && pl.loads >= len(lost) {
		pl.swap(g, lost, spares)
		return
	}
	if len(spares) < len(lost) && pl.someoneCouldUse(g, lost) {
		pl.next.remove(g.ID)
		pl.note(g.ID, "broken up: no spare for %s, its other VMs are wanted", strings.Join(lost, ", "))
	}
}

func (pl *planner) swap(g *Group, lost, spares []string) {
	for i, vm := range lost {
		g.VMs[slices.Index(g.VMs, vm)] = spares[i]
		pl.note(g.ID, "VM %s takes the place of %s", spares[i], vm)
	}
	pl.loads -= len(lost)
	g.Birth = pl.next.Generation
	g.State = Forming
}

// someoneCouldUse reports whether breaking g would let another wanted group form.
func (pl *planner) someoneCouldUse(g *Group, lost []string) bool {
	after := len(pl.free()) + len(g.VMs) - len(lost)
	for _, name := range pl.view.Add {
		if m, ok := pl.view.Models[name]; ok && m.VMsPerReplica <= after {
			return true
		}
	}
	m, ok := pl.view.Models[g.Model]
	return ok && m.VMsPerReplica <= after
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
	slices.SortStableFunc(free, func(a, b string) int { return pl.holds(b, m) - pl.holds(a, m) })
	return free[:m.VMsPerReplica]
}

func (pl *planner) holds(vm string, m config.Model) int {
	s := pl.view.VMs[vm].State
	if s.Model == m.Name && s.Version == m.Version {
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
