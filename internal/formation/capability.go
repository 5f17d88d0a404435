package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// targetUtilisation is the fraction of a model's request slots in use up to which its requests delay each other little.
// From about half of the slots on, a replica group that reads prompts has too little time left to generate answers.
const targetUtilisation = 0.45

// hasCopy reports whether the endpoint could serve the model without loading it from the weight store.
func hasCopy(e *endpoint.Endpoint, m route.Model) bool {
	return e.HasLoaded(m.Name) || e.HasStaged(m.Name)
}

// evicts reports whether joining a group of newModel would make the endpoint lose m: the endpoint holds m, and m is not
// staged on its host.
func evicts(e *endpoint.Endpoint, newModel, m route.Model) bool {
	return newModel.Name != "" && newModel.Name != m.Name && e.HasLoaded(m.Name) && !e.HasStaged(m.Name)
}

// modelCopies counts the endpoints of each domain that have a copy of a model, whatever they do now. Only loads of
// weights add copies, and there are few of those, so a change of model that loses more copies than it puts to use is
// not worthwhile.
type modelCopies map[string]map[string]int // by model, by domain

// countCopies counts the live endpoints that have, or are being given, a copy of each model. The result is cached for
// one step; plans made later in the step are subtracted from it.
func (p *Planner) countCopies(v *View) modelCopies {
	if p.copies != nil {
		return p.copies
	}
	p.copies = make(modelCopies)
	for _, m := range v.Service.Engine.Models {
		p.copies[m.Name] = make(map[string]int)
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if e.Draining || v.isDown(e.ID) {
			continue
		}
		newModel := p.plannedModel(v, e)
		for _, m := range v.Service.Engine.Models {
			if !evicts(e, newModel, m) && (hasCopy(e, m) || p.stagings[e.ID].model == m.Name) {
				p.copies[m.Name][e.Domain]++
			}
		}
	}
	return p.copies
}

// plannedModel returns the model of the plan that the endpoint is a member of, or the zero Model.
func (p *Planner) plannedModel(v *View, e *endpoint.Endpoint) route.Model {
	pl := p.commitments.planByMember[e.ID]
	if pl == nil {
		return route.Model{}
	}
	m, _ := v.Service.Engine.Model(pl.model)
	return m
}

// removeEvicted subtracts the copies that the members of a new plan will evict. All members are live, because plans
// contain no others.
func (c modelCopies) removeEvicted(v *View, pl *plan) {
	newModel, _ := v.Service.Engine.Model(pl.model)
	for name, domains := range c {
		m, _ := v.Service.Engine.Model(name)
		for _, e := range pl.members {
			if evicts(e, newModel, m) {
				domains[e.Domain]--
			}
		}
	}
}

// maxGroups returns how many replica groups of the model could exist at once if it had every endpoint with a copy.
func (c modelCopies) maxGroups(m route.Model) int {
	n := 0
	for _, endpoints := range c[m.Name] {
		n += endpoints / max(1, m.Size)
	}
	return n
}

// groupsLost returns by how much maxGroups would fall if the given number of endpoints of the domain evicted the model.
func (c modelCopies) groupsLost(m route.Model, domain string, endpoints int) int {
	size := max(1, m.Size)
	have := c[m.Name][domain]
	return have/size - max(0, have-endpoints)/size
}

// potentialPressure returns the pressure of the model if it had every endpoint with a copy, less groupsRemoved groups.
func (p *Planner) potentialPressure(v *View, c modelCopies, m route.Model, groupsRemoved int) float64 {
	groups := max(0, c.maxGroups(m)-groupsRemoved)
	return p.pressure(v, m, map[string]int{m.Name: groups * m.Size})
}
