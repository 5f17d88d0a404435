package replica

import (
	"slices"
)

// removeDrained removes draining groups that are idle, whose leader is lost, or that exceeded DrainLimit.
// No group is removed before DrainFloor has passed.
func (pl *planner) removeDrained() {
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
			pl.recordChange(g.ID, "drained, broken up")
		}
	}
}

func (pl *planner) drain(g *Group, reason string) {
	if g.State == Draining {
		return
	}
	g.State = Draining
	g.Reason = reason
	pl.recordChange(g.ID, "draining: %s", reason)
}

// dropSurplus drains groups of models that are no longer declared and the groups listed in View.Drop.
func (pl *planner) dropSurplus() {
	for _, g := range pl.next.Groups {
		if _, declared := pl.view.Models[g.Model]; !declared {
			pl.drain(g, "the model is no longer declared")
		} else if slices.Contains(pl.view.Drop, g.ID) {
			pl.drain(g, "others are due its VMs")
		}
	}
}

// drainGroupsWithLeavingVMs drains groups that contain a leaving VM. Where enough VMs are free, a replacement
// group is formed first.
func (pl *planner) drainGroupsWithLeavingVMs() {
	for _, g := range slices.Clone(pl.next.Groups) {
		i := slices.IndexFunc(g.VMs, func(vm string) bool { return pl.view.VMs[vm].Leaving })
		if i < 0 || g.State == Draining {
			continue
		}
		if pl.formReplacement(g) {
			continue
		}
		pl.drain(g, "VM "+g.VMs[i]+" is leaving")
	}
}

// formReplacement forms a replacement for a group with a leaving VM, and reports whether draining must wait
// for that replacement.
func (pl *planner) formReplacement(g *Group) bool {
	m, declared := pl.view.Models[g.Model]
	if !declared || g.State != Serving {
		return false
	}
	if g.Leaving {
		return pl.inTransition(g.Model)
	}
	if !pl.formGroup(m) {
		return false
	}
	g.Leaving = true
	return true
}
