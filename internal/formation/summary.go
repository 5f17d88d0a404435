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
	free, cold := 0, 0
	for _, list := range p.freeByDomain(v) {
		for _, e := range list {
			free++
			if len(e.Models)+len(e.Staged) == 0 {
				cold++
			}
		}
	}
	p.note("endpoints", "", "listed", len(v.Snapshot.Services[v.Service.Name]), "free", free, "cold", cold,
		"plans", len(p.plans), "retiring", len(p.retiring), "staging", len(p.stagings))
}
