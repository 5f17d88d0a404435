package formation

import (
	"cmp"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// completion is what a domain lacks for one more group of a model.
type completion struct {
	missing int
	from    []*endpoint.Endpoint // free endpoints that could be given the model, those that hold none first
}

// completions returns the free endpoints that need only be given the model for their domain to have one more group
// of it, those of the domains that lack the fewest first.
func (p *Planner) completions(v *View, m route.Model) []*endpoint.Endpoint {
	var lacking []completion
	for _, list := range p.byDomain(v) {
		if c := p.completionOf(v, m, list); c.missing <= len(c.from) {
			lacking = append(lacking, c)
		}
	}
	slices.SortFunc(lacking, func(a, b completion) int {
		return cmp.Or(cmp.Compare(a.missing, b.missing), cmp.Compare(a.from[0].ID, b.from[0].ID))
	})
	var out []*endpoint.Endpoint
	for _, c := range lacking {
		out = append(out, c.from[:c.missing]...)
	}
	return out
}

// completionOf says what one domain lacks. Endpoints that run another model and have this one staged count as there:
// their groups can be ended for it.
func (p *Planner) completionOf(v *View, m route.Model, list []*endpoint.Endpoint) completion {
	warm := 0
	c := completion{}
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
