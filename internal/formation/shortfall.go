package formation

import (
	"cmp"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// maxPressureWeight limits the pressure by which the rank of a shortfall is multiplied.
const maxPressureWeight = 3

// shortfall is what a domain lacks for one more group of a model in need.
type shortfall struct {
	model    route.Model
	domain   string
	pressure float64
	missing  int                  // number of endpoints that still have to load the model
	loadable []*endpoint.Endpoint // free endpoints that could load the model, those with the fewest models first
	rank     float64              // service gained per second of loading
}

// completable reports whether the domain has all the endpoints that the group lacks.
func (s *shortfall) completable() bool { return s.missing <= len(s.loadable) }

// completionRank returns the service that a group gains for each second of loading: the pressure of its model, which is
// limited by maxPressureWeight, divided by the time of the loads that the group still lacks. The group serves only after
// the last of them.
func completionRank(m route.Model, pressure float64, missing int) float64 {
	return min(pressure, maxPressureWeight) / (float64(max(1, missing)) * max(m.Load.Seconds(), 0.001))
}

// shortfalls returns what the domains lack for one more group of each model in need, the highest rank first.
func (p *Planner) shortfalls(v *View) []shortfall {
	have := p.assignedEndpoints(v)
	domains := p.endpointsByDomain(v)
	var out []shortfall
	for _, m := range v.Service.Engine.Models {
		need := p.pressure(v, m, have)
		if need < lowPressure {
			continue
		}
		for domain, list := range domains {
			c := p.domainShortfall(v, m, list)
			c.domain, c.pressure, c.rank = domain, need, completionRank(m, need, c.missing)
			if len(c.loadable) > 0 {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b shortfall) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.loadable[0].ID, b.loadable[0].ID))
	})
	return out
}

// domainShortfall returns what one domain lacks. Endpoints that run another model and have this one staged count as
// available, because their groups can be ended for it.
func (p *Planner) domainShortfall(v *View, m route.Model, list []*endpoint.Endpoint) shortfall {
	available := 0
	c := shortfall{model: m}
	for _, e := range list {
		current, busy := p.stagings[e.ID]
		switch {
		case e.Draining || v.isDown(e.ID) || e.HasLoaded(m.Name) && !p.isFree(v, e):
		case warmth(e, m) > 0, current.model == m.Name:
			available++
		case !busy && p.isFree(v, e):
			c.loadable = append(c.loadable, e)
		}
	}
	c.missing = m.Size - available%max(1, m.Size)
	slices.SortStableFunc(c.loadable, func(a, b *endpoint.Endpoint) int {
		return cmp.Or(cmp.Compare(len(a.Models)+len(a.Staged), len(b.Models)+len(b.Staged)), cmp.Compare(a.ID, b.ID))
	})
	return c
}

func (p *Planner) endpointsByDomain(v *View) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		out[e.Domain] = append(out[e.Domain], e)
	}
	return out
}

// completionLoads returns the loads that complete the shortfalls which the domains can complete.
func completionLoads(short []shortfall) []stageTarget {
	var out []stageTarget
	for _, s := range short {
		if !s.completable() {
			continue
		}
		for _, e := range s.loadable[:s.missing] {
			out = append(out, stageTarget{endpoint: e, model: s.model, rank: s.rank})
		}
	}
	return out
}

// sortByRank sorts the loads by the service gained per second of loading, the highest first.
func sortByRank(loads []stageTarget) []stageTarget {
	slices.SortStableFunc(loads, func(a, b stageTarget) int { return cmp.Compare(b.rank, a.rank) })
	return loads
}
