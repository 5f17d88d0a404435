package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// stageOthers gives members of groups the model that they do not run, as many as conversions can reach, and what no group has
// taken a first one.
func (p *Planner) stageOthers(v *View) {
	p.stageCold(v)
	within := p.withinReach(v)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if e.Membership == nil || !within[e.Domain] || !p.oneSided(e) {
			continue
		}
		for _, m := range v.Service.Engine.Models {
			if !e.Holds(m.Name) {
				p.stageOne(v, e, m)
				break
			}
		}
	}
}

// stageCold gives a first model to the endpoints that no group has taken and that have none.
func (p *Planner) stageCold(v *View) {
	var cold []*endpoint.Endpoint
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.cold(v, e) {
			cold = append(cold, e)
		}
	}
	if len(cold) == 0 {
		return // the counts below look at every endpoint and plan
	}
	members, spares := p.membersByDomain(v), p.sparesByDomain(v)
	for _, e := range cold {
		if m, found := spareModel(v, members[e.Domain], spares[e.Domain]); found {
			p.stageOne(v, e, m)
			count(spares, e.Domain, m.Name, 1)
		}
	}
}

// membersByDomain counts the members of groups and plans by domain and model.
func (p *Planner) membersByDomain(v *View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for name, g := range v.Snapshot.Groups {
		if g.Service == v.Service.Name && p.plans[name] == nil {
			count(out, g.Domain, g.Model, len(g.Members))
		}
	}
	for _, pl := range p.plans {
		count(out, pl.members[0].Domain, pl.model, len(pl.members))
	}
	return out
}

// sparesByDomain counts the endpoints in no group by domain and the model that they have, or are being given.
func (p *Planner) sparesByDomain(v *View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if !p.free(v, e) {
			continue
		}
		for _, m := range v.Service.Engine.Models {
			if e.Holds(m.Name) || e.HasStaged(m.Name) || p.stagings[e.ID].model == m.Name {
				count(out, e.Domain, m.Name, 1)
			}
		}
	}
	return out
}

// count adds to a number by domain and model.
func count(numbers map[string]map[string]int, domain, model string, n int) {
	if numbers[domain] == nil {
		numbers[domain] = make(map[string]int)
	}
	numbers[domain][model] += n
}

// spareModel returns the model that one more spare of a domain should hold: the one for which the loss of a member idles
// the most others, by how many members there are to be lost and how many spares have the model already. With one model
// for all spares of a domain every loss of another model's member waited for a load, 12 s and more.
func spareModel(v *View, members, spares map[string]int) (best route.Model, found bool) {
	most := 0.0
	for _, m := range v.Service.Engine.Models {
		if idled := float64(members[m.Name]*(m.Size-1)) / float64(1+spares[m.Name]); idled > most {
			best, found, most = m, true, idled
		}
	}
	return best, found
}
