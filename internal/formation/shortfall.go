package formation

import (
	"cmp"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// maxPressureWeight limits the pressure by which the cost of a shortfall is divided.
const maxPressureWeight = 3

// shortfall is what a domain lacks for one more group of a model.
type shortfall struct {
	model    route.Model
	missing  int                  // number of endpoints that still have to load the model
	loadable []*endpoint.Endpoint // free endpoints that could load the model, those with the fewest models first
	cost     float64              // seconds of loading, divided by the pressure of the model
}

// shortfalls returns what the domains lack for one more group of each model in need, the cheapest first.
func (p *Planner) shortfalls(v *View) []shortfall {
	have := p.assignedEndpoints(v)
	domains := p.endpointsByDomain(v)
	var out []shortfall
	for _, m := range v.Service.Engine.Models {
		need := p.pressure(v, m, have)
		if need < lowPressure {
			continue
		}
		for _, list := range domains {
			c := p.domainShortfall(v, m, list)
			c.cost = float64(c.missing) * m.Load.Seconds() / min(need, maxPressureWeight)
			if c.missing <= len(c.loadable) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b shortfall) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.loadable[0].ID, b.loadable[0].ID))
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
		case !busy && p.isFree(v, e) && !p.isOrdered(e):
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
