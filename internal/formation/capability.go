package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// comfortable is the part of a model's places in use at which its requests do not delay each other much: from about
// half of the places on, the time that a replica group reads prompts leaves too little to write answers.
const comfortable = 0.45

// keeps reports whether the endpoint could serve the model without a load from the weight store.
func keeps(e *endpoint.Endpoint, m route.Model) bool { return e.Holds(m.Name) || e.HasStaged(m.Name) }

// forgets reports whether the endpoint would lose the model by joining a group of another one: what it holds, but its
// host does not.
func forgets(e *endpoint.Endpoint, joins, m route.Model) bool {
	return joins.Name != "" && joins.Name != m.Name && e.Holds(m.Name) && !e.HasStaged(m.Name)
}

// capability counts the endpoints of each domain that keep a model, whatever they do now. Loads of weights are what
// it grows by, and there are few of them: a change of model that loses more of it than it serves is not worth it.
type capability map[string]map[string]int // by model, by domain

// capabilityOf counts what live endpoints keep or are being given. It is counted once a step, and what is planned after
// that is taken off.
func (p *Planner) capabilityOf(v *View) capability {
	if p.keeping != nil {
		return p.keeping
	}
	p.keeping = make(capability)
	for _, m := range v.Service.Engine.Models {
		p.keeping[m.Name] = make(map[string]int)
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if e.Draining || v.down(e.ID) {
			continue
		}
		joins := p.joining(v, e)
		for _, m := range v.Service.Engine.Models {
			if !forgets(e, joins, m) && (keeps(e, m) || p.stagings[e.ID].model == m.Name) {
				p.keeping[m.Name][e.Domain]++
			}
		}
	}
	return p.keeping
}

// joining returns the model of the plan that the endpoint is a member of, or one without a name.
func (p *Planner) joining(v *View, e *endpoint.Endpoint) route.Model {
	pl := p.bonds.planned[e.ID]
	if pl == nil {
		return route.Model{}
	}
	m, _ := v.Service.Engine.Model(pl.model)
	return m
}

// forget takes off what the members of a new plan will not keep. They are live: no other endpoint is planned with.
func (c capability) forget(v *View, pl *plan) {
	joins, _ := v.Service.Engine.Model(pl.model)
	for name, domains := range c {
		m, _ := v.Service.Engine.Model(name)
		for _, e := range pl.members {
			if forgets(e, joins, m) {
				domains[e.Domain]--
			}
		}
	}
}

// groups returns how many replica groups of the model there could be at once if it had every endpoint that keeps it.
func (c capability) groups(m route.Model) int {
	n := 0
	for _, endpoints := range c[m.Name] {
		n += endpoints / max(1, m.Size)
	}
	return n
}

// lost returns how many of those groups there could be fewer if that many endpoints of the domain forgot the model.
func (c capability) lost(m route.Model, domain string, endpoints int) int {
	size := max(1, m.Size)
	have := c[m.Name][domain]
	return have/size - max(0, have-endpoints)/size
}

// shadow is the pressure that the model would have if it had every endpoint that keeps it, less that many groups.
func (p *Planner) shadow(v *View, c capability, m route.Model, fewer int) float64 {
	groups := max(0, c.groups(m)-fewer)
	return p.pressure(v, m, map[string]int{m.Name: groups * m.Size})
}
