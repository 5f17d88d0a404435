package replica

import (
	"slices"
)

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
