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
	p.shortages = nil
	for _, m := range v.Service.Engine.Models {
		p.summariseShortage(p.shortage(v, m))
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
	p.loadCounts = p.countLoads()
	pairs := []any{"listed", len(v.Snapshot.Services[v.Service.Name])}
	free := 0
	for _, r := range FreeReasons {
		free += p.freeCounts[r]
		pairs = append(pairs, string(r), p.freeCounts[r])
	}
	p.note("endpoints", "", append(pairs, "free", free, "plans", len(p.plans), "retiring", len(p.retiring), "staging", len(p.stagings))...)
	loads := []any{"at_once", v.Service.Engine.LoadsAtOnce, "conversion_obstacle", string(p.conversionObstacle)}
	for _, purpose := range LoadPurposes {
		loads = append(loads, string(purpose), p.loadCounts[purpose])
	}
	p.note("loads", "", loads...)
}

// summariseShortage logs what keeps endpoints from serving a model.
func (p *Planner) summariseShortage(s Shortage) {
	p.shortages = append(p.shortages, s)
	pairs := []any{"model", s.Model, "possible", s.Possible}
	for _, cause := range Causes {
		pairs = append(pairs, string(cause), s.Endpoints[cause])
	}
	p.note("shortage", "", pairs...)
}
