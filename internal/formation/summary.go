package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

// summaryEvery is the interval between two summaries in the log.
const summaryEvery = time.Second

// summarise logs the groups, requests and endpoints of each model and of the service.
func (p *Planner) summarise(v *View) {
	if v.Now.Sub(p.lastSummary) < summaryEvery {
		return
	}
	p.lastSummary = v.Now
	have := p.assignedEndpoints(v)
	for _, m := range v.Service.Engine.Models {
		open, load := 0, 0
		for name, g := range v.Snapshot.Groups {
			if g.Model != m.Name || g.Head == nil || g.Head.Membership.State != endpoint.Open || p.retiring[name] != nil {
				continue
			}
			open++
			load += v.Loads[g.Head.ID]
		}
		p.note("supply", "", "model", m.Name, "open", open, "requests", load, "endpoints", have[m.Name], "readers", p.demand.prefillGroups[m.Name],
			"pressure", p.pressure(v, m, have), "needed", p.demand.present(v.Service.Engine, m), "needed_peak", p.demand.peak(v.Service.Engine, m, v.Now))
	}
	p.freeCounts = p.freeReasons(v)
	pairs := []any{"listed", len(v.Snapshot.Services[v.Service.Name])}
	free := 0
	for _, r := range FreeReasons {
		free += p.freeCounts[r]
		pairs = append(pairs, string(r), p.freeCounts[r])
	}
	p.note("endpoints", "", append(pairs, "free", free, "plans", len(p.plans), "retiring", len(p.retiring), "staging", len(p.stagings))...)
}
