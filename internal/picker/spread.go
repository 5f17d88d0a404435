package picker

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// spreadPart is how many times the unseen requests of a replica group choices are spread by, from trials on a
	// fleet of 68 nodes: ten requests were better than four and four better than half a one, with five unseen.
	spreadPart = 3
	// unseenAtLeast is how many requests of a group have to be unseen before choices are spread: fewer make no crowd,
	// and a fleet of seven nodes loses by it.
	unseenAtLeast = 1
)

// spread returns by how many requests choices among the groups of a model are to be spread. What other nodes have
// begun since they told their loads is not seen yet. All nodes see the same groups as the least loaded, and if each
// chose the least, they would all choose the same ones until the next loads are told.
func (p *Picker) spread(w *Want, snapshot *endpoint.Snapshot, others *gossip.Totals) float64 {
	held := p.held[w.Model]
	if held <= 0 || p.options.Lag == nil {
		return jitter
	}
	groups := 0
	for _, g := range snapshot.Groups {
		if g.Service == w.Service && g.Model == w.Model && p.usable(g, w.Size) {
			groups++
		}
	}
	if groups == 0 {
		return jitter
	}
	begunASecond := float64(others.Demands[w.Model].Running) / held.Seconds()
	unseen := begunASecond * p.options.Lag().Seconds() / float64(groups)
	return max(jitter, spreadPart*(unseen-unseenAtLeast))
}
