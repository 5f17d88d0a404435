package formation

import (
	"cmp"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// mostNeed bounds the weight of a model's pressure.
const mostNeed = 3

// completion is what a domain lacks for one more group of a model.
type completion struct {
	model   route.Model
	missing int
	from    []*endpoint.Endpoint // free endpoints that could be given the model, those that hold none first
	cost    float64              // seconds of loading for what the model needs
}

// completions returns what domains lack for one more group of the models in need, the cheapest first.
func (p *Planner) completions(v *View) []completion {
	have := p.assigned(v)
	domains := p.byDomain(v)
	var out []completion
	for _, m := range v.Service.Engine.Models {
		need := p.pressure(v, m, have)
		if need < relaxed {
			continue
		}
		for _, list := range domains {
			c := p.completionOf(v, m, list)
			c.cost = float64(c.missing) * m.Load.Seconds() / min(need, mostNeed)
			if c.missing <= len(c.from) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b completion) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.from[0].ID, b.from[0].ID))
	})
	return out
}

// completionOf says what one domain lacks. Endpoints that run another model and have this one staged count as there:
// their groups can be ended for it.
func (p *Planner) completionOf(v *View, m route.Model, list []*endpoint.Endpoint) completion {
	warm := 0
	c := completion{model: m}
	for _, e := range list {
		loading, busy := p.stagings[e.ID]
		switch {
		case e.Draining || v.down(e.ID) || e.Holds(m.Name) && !p.free(v, e):
		case warmth(e, m) > 0, loading.model == m.Name:
			warm++
		case !busy && p.free(v, e):
			c.from = append(c.from, e)
		}
	}
	c.missing = m.Size - warm%max(1, m.Size)
	slices.SortStableFunc(c.from, func(a, b *endpoint.Endpoint) int {
		return cmp.Or(cmp.Compare(len(a.Models)+len(a.Staged), len(b.Models)+len(b.Staged)), cmp.Compare(a.ID, b.ID))
	})
	return c
}

func (p *Planner) byDomain(v *View) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		out[e.Domain] = append(out[e.Domain], e)
	}
	return out
}
