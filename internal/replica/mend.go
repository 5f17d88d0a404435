package replica

import (
	"math"
	"slices"
	"strings"
	"time"
)

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
