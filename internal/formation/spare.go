package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// stageBeforeTraffic stages a second model for all group members and a first model for endpoints without one. Loads are fast then,
// and the survivors of a broken group that have one model only can serve with no others of their domain until a load has ended.
func (p *Planner) stageBeforeTraffic(v *View, running int) {
	p.stageCold(v, &running)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if e.Membership == nil || !p.canTakeSecondModel(e) {
			continue
		}
		for _, m := range v.Service.Engine.Models {
			if !e.HasLoaded(m.Name) {
				p.stageEarly(v, &running, e, m, LoadSecond)
				break
			}
		}
	}
}

// stageEarly stages a model before the first request that this leader knows of. One that follows another leader cannot tell whether
// requests have been sent before, so that loads are slow and count, and keeps to the limits on loads.
func (p *Planner) stageEarly(v *View, running *int, e *endpoint.Endpoint, m route.Model, purpose LoadPurpose) {
	if p.isSuccessor {
		p.stageIfAllowed(v, running, e, m, purpose)
		return
	}
	p.stageModel(v, e, m, purpose)
}

// stageCold stages a first model for the free endpoints that have none.
func (p *Planner) stageCold(v *View, running *int) {
	var cold []*endpoint.Endpoint
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.isCold(v, e) {
			cold = append(cold, e)
		}
	}
	if len(cold) == 0 {
		return // the counts below visit every endpoint and plan
	}
	members, spares := p.membersByDomain(v), p.sparesByDomain(v)
	for _, e := range cold {
		if m, found := spareModel(v, members[e.Domain], spares[e.Domain]); found {
			p.stageEarly(v, running, e, m, LoadFirst)
			addCount(spares, e.Domain, m.Name, 1)
		}
	}
}

// membersByDomain counts the members of groups and plans, by domain and model.
func (p *Planner) membersByDomain(v *View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for name, g := range v.Snapshot.Groups {
		if g.Service == v.Service.Name && p.plans[name] == nil {
			addCount(out, g.Domain, g.Model, len(g.Members))
		}
	}
	for _, pl := range p.plans {
		addCount(out, pl.members[0].Domain, pl.model, len(pl.members))
	}
	return out
}

// sparesByDomain counts the free endpoints by domain and by the models that they have or are being given.
func (p *Planner) sparesByDomain(v *View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if !p.isFree(v, e) {
			continue
		}
		for _, m := range v.Service.Engine.Models {
			if e.HasLoaded(m.Name) || e.HasStaged(m.Name) || p.stagings[e.ID].model == m.Name {
				addCount(out, e.Domain, m.Name, 1)
			}
		}
	}
	return out
}

// addCount adds n to the number for the domain and model.
func addCount(numbers map[string]map[string]int, domain, model string, n int) {
	if numbers[domain] == nil {
		numbers[domain] = make(map[string]int)
	}
	numbers[domain][model] += n
}

// spareModel returns the model that one more spare of a domain should have: the one for which the loss of a member
// idles the most other members, weighted by the number of members and divided among the spares that have the model.
// With one model for all spares of a domain, the replacement of another model's lost member always had to wait 12 s or
// more for a load.
func spareModel(v *View, members, spares map[string]int) (best route.Model, found bool) {
	most := 0.0
	for _, m := range v.Service.Engine.Models {
		if idled := float64(members[m.Name]*(m.Size-1)) / float64(1+spares[m.Name]); idled > most {
			best, found, most = m, true, idled
		}
	}
	return best, found
}
