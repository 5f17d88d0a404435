package replica

import (
	"math"
	"slices"
	"strings"
	"time"
)

// replaceLostVMs replaces VMs lost for longer than the wait limit with spares, and breaks up groups for which
// the policy or a lack of spares requires it.
func (pl *planner) replaceLostVMs() {
	var unrepaired []*Group
	for _, g := range slices.Clone(pl.next.Groups) {
		if g.State == Draining || !pl.waitExpired(g) {
			continue
		}
		if pl.policy.Wait == BreakAtOnce {
			pl.breakUp(g, "a new group will be formed")
			continue
		}
		if !pl.useSpares(g) {
			unrepaired = append(unrepaired, g)
		}
	}
	pl.breakUpUnrepairable(unrepaired)
}

// waitExpired reports whether the group has lost VMs and the wait limit for them has passed.
func (pl *planner) waitExpired(g *Group) bool {
	lost, longest := pl.lostVMs(g)
	return len(lost) > 0 && longest >= pl.waitLimit(g, len(lost))
}

// waitLimit returns how long to wait for the group's lost VMs. The wait is shorter if enough spares hold the
// weights, as the replacement then needs no reload.
func (pl *planner) waitLimit(g *Group, lost int) time.Duration {
	reload := pl.memory.reloadTime(pl.policy)
	if pl.warmSpares(g) >= lost {
		reload = pl.policy.WarmRecovery
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

// warmSpares returns the number of free VMs that hold the group's weights.
func (pl *planner) warmSpares(g *Group) int {
	n := 0
	for _, vm := range pl.freeVMs() {
		n += pl.weightsHeld(vm, g.Model, g.Version)
	}
	return n
}

// useSpares replaces the group's lost VMs with spares and reports whether there were enough spares and the load
// limit allowed it.
func (pl *planner) useSpares(g *Group) bool {
	lost, _ := pl.lostVMs(g)
	spares := pl.freeVMs()
	if len(spares) < len(lost) || pl.loads < len(lost) {
		return false
	}
	pl.sortWarmFirst(spares, g.Model, g.Version)
	pl.replaceVMs(g, lost, spares)
	return true
}

// breakUpUnrepairable breaks up groups that lack spares where their VMs help other groups. Of several such groups,
// the one with the fewest remaining VMs is broken up and its VMs repair the others. A single one is broken up if
// this lets a wanted group form and worthBreakingUp returns true.
func (pl *planner) breakUpUnrepairable(unrepaired []*Group) {
	slices.SortStableFunc(unrepaired, func(a, b *Group) int { return len(pl.remainingVMs(b)) - len(pl.remainingVMs(a)) })
	for len(unrepaired) > 1 {
		victim := unrepaired[len(unrepaired)-1]
		unrepaired = unrepaired[:len(unrepaired)-1]
		spares := len(pl.freeVMs()) + len(pl.remainingVMs(victim))
		lost, _ := pl.lostVMs(unrepaired[0])
		if spares < len(lost) {
			return
		}
		pl.breakUp(victim, "its remaining VMs repair "+unrepaired[0].ID)
		unrepaired = slices.DeleteFunc(unrepaired, pl.useSpares)
	}
	if len(unrepaired) == 1 && pl.wouldLetAnotherForm(unrepaired[0]) && pl.worthBreakingUp(unrepaired[0]) {
		pl.breakUp(unrepaired[0], "its remaining VMs let a wanted group form")
	}
}

func (pl *planner) breakUp(g *Group, why string) {
	lost, _ := pl.lostVMs(g)
	pl.next.remove(g.ID)
	pl.recordChange(g.ID, "broken up: no spare for %s, %s", strings.Join(lost, ", "), why)
}

// remainingVMs returns the group's VMs that are not lost.
func (pl *planner) remainingVMs(g *Group) []string {
	lost, _ := pl.lostVMs(g)
	return slices.DeleteFunc(slices.Clone(g.VMs), func(vm string) bool { return slices.Contains(lost, vm) })
}

// worthBreakingUp reports whether the accelerators that are idle while the group waits cost more than the downtime
// that waiting is expected to save, which it does only if the lost VM returns.
func (pl *planner) worthBreakingUp(g *Group) bool {
	idle := 0
	for _, vm := range pl.view.Domain.VMs {
		if slices.Contains(pl.remainingVMs(g), vm.Name) {
			idle += vm.Accelerators
		}
	}
	return float64(idle)*pl.view.Prices.StrandedSecond > pl.memory.pauses.returnedFraction()*pl.view.Prices.DowntimeSecond
}

func (pl *planner) lostVMs(g *Group) (lost []string, longest time.Duration) {
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

func (pl *planner) replaceVMs(g *Group, lost, spares []string) {
	for i, vm := range lost {
		g.VMs[slices.Index(g.VMs, vm)] = spares[i]
		pl.recordChange(g.ID, "VM %s replaces lost VM %s", spares[i], vm)
	}
	pl.loads -= len(lost)
	g.Birth = pl.next.Generation
	g.State = Forming
}

// wouldLetAnotherForm reports whether breaking up g would free enough VMs for a wanted group.
func (pl *planner) wouldLetAnotherForm(g *Group) bool {
	after := len(pl.freeVMs()) + len(pl.remainingVMs(g))
	return slices.ContainsFunc(pl.view.Add, func(name string) bool {
		m, ok := pl.view.Models[name]
		return ok && m.VMsPerReplica <= after
	})
}
