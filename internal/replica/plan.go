package replica

import (
	"fmt"
	"math"
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

// drainLeaving drains groups with a VM that is on its way out, after another group has taken their place
// where there are VMs for one.
func (pl *planner) drainLeaving() {
	for _, g := range slices.Clone(pl.next.Groups) {
		i := slices.IndexFunc(g.VMs, func(vm string) bool { return pl.view.VMs[vm].Leaving })
		if i < 0 || g.State == Draining {
			continue
		}
		if pl.replaceFirst(g) {
			continue
		}
		pl.drain(g, "VM "+g.VMs[i]+" is leaving")
	}
}

// replaceFirst forms a group to take a leaving one's place, and reports whether to wait for it.
func (pl *planner) replaceFirst(g *Group) bool {
	m, declared := pl.view.Models[g.Model]
	if !declared || g.State != Serving {
		return false
	}
	if g.Leaving {
		return pl.onTheMove(g.Model)
	}
	if !pl.formOne(m) {
		return false
	}
	g.Leaving = true
	return true
}

// mendLosses replaces lost VMs by spares, or breaks groups whose loss will not be waited out.
func (pl *planner) mendLosses() {
	var stuck []*Group
	for _, g := range slices.Clone(pl.next.Groups) {
		if g.State == Draining || !pl.overdue(g) {
			continue
		}
		if pl.policy.Wait == BreakAtOnce {
			pl.breakUp(g, "to be formed anew")
			continue
		}
		if !pl.swapLost(g) {
			stuck = append(stuck, g)
		}
	}
	pl.breakStuck(stuck)
}

// overdue reports whether the group has lost VMs for longer than they are waited for.
func (pl *planner) overdue(g *Group) bool {
	lost, longest := pl.lostOf(g)
	return len(lost) > 0 && longest >= pl.waitLimit(g, len(lost))
}

// waitLimit is how long the group's lost VMs are waited for. Spares that hold the weights make it short.
func (pl *planner) waitLimit(g *Group, lost int) time.Duration {
	reload := pl.memory.reloadTime(pl.policy)
	if pl.warmSpares(g) >= lost {
		reload = pl.policy.Reform
	}
	switch pl.policy.Wait {
	case WaitAlways:
		return math.MaxInt64
	case BreakAtOnce:
		return 0
	default:
		return pl.memory.pauses.waitLimit(reload, pl.policy.MaxWait)
	}
}

// warmSpares counts the free VMs that hold the group's weights.
func (pl *planner) warmSpares(g *Group) int {
	n := 0
	for _, vm := range pl.free() {
		n += pl.holds(vm, g.Model, g.Version)
	}
	return n
}

// swapLost puts spares in the place of the group's lost VMs, if there are enough.
func (pl *planner) swapLost(g *Group) bool {
	lost, _ := pl.lostOf(g)
	spares := pl.free()
	if len(spares) < len(lost) || pl.loads < len(lost) {
		return false
	}
	pl.warmFirst(spares, g.Model, g.Version)
	pl.swap(g, lost, spares)
	return true
}

// breakStuck breaks up groups without spares where that helps others: of several broken groups the one with
// most VMs lost gives its others to the rest, and a single one makes room for a wanted group if the prices say so.
func (pl *planner) breakStuck(stuck []*Group) {
	slices.SortStableFunc(stuck, func(a, b *Group) int { return len(pl.present(b)) - len(pl.present(a)) })
	for len(stuck) > 1 {
		victim := stuck[len(stuck)-1]
		stuck = stuck[:len(stuck)-1]
		spares := len(pl.free()) + len(pl.present(victim))
		lost, _ := pl.lostOf(stuck[0])
		if spares < len(lost) {
			return
		}
		pl.breakUp(victim, "its other VMs mend "+stuck[0].ID)
		stuck = slices.DeleteFunc(stuck, pl.swapLost)
	}
	if len(stuck) == 1 && pl.someoneCouldUse(stuck[0]) && pl.worthBreaking(stuck[0]) {
		pl.breakUp(stuck[0], "its other VMs are wanted")
	}
}

func (pl *planner) breakUp(g *Group, why string) {
	lost, _ := pl.lostOf(g)
	pl.next.remove(g.ID)
	pl.note(g.ID, "broken up: no spare for %s, %s", strings.Join(lost, ", "), why)
}

// present returns the group's VMs that are not lost.
func (pl *planner) present(g *Group) []string {
	lost, _ := pl.lostOf(g)
	return slices.DeleteFunc(slices.Clone(g.VMs), func(vm string) bool { return slices.Contains(lost, vm) })
}

// worthBreaking weighs the accelerators that lie idle while the group waits against the downtime saved if
// its lost VM does come back.
func (pl *planner) worthBreaking(g *Group) bool {
	idle := 0
	for _, vm := range pl.view.Domain.VMs {
		if slices.Contains(pl.present(g), vm.Name) {
			idle += vm.Accelerators
		}
	}
	return float64(idle)*pl.view.Prices.StrandedSecond > pl.memory.pauses.returned()*pl.view.Prices.DowntimeSecond
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
func (pl *planner) someoneCouldUse(g *Group) bool {
	after := len(pl.free()) + len(pl.present(g))
	return slices.ContainsFunc(pl.view.Add, func(name string) bool {
		m, ok := pl.view.Models[name]
		return ok && m.VMsPerReplica <= after
	})
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
