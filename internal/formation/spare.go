package formation

import (
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// stageOthers gives every member of a group the model that it does not run, and what no group has taken a first one.
func (p *Planner) stageOthers(v *View) {
	members := p.membersByDomain(v)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.loading(e) || e.Draining {
			continue
		}
		if len(e.Models)+len(e.Staged) == 0 && p.free(v, e) {
			if m, found := spareModel(v, members[e.Domain]); found {
				p.stageOne(v, e, m)
			}
			continue
		}
		if e.Membership == nil || e.Membership.State == endpoint.Joining || len(e.Models) == 0 || keepsAnother(e) {
			continue
		}
		for _, m := range v.Service.Engine.Models {
			if !e.Holds(m.Name) && !e.HasStaged(m.Name) {
				p.stageOne(v, e, m)
				break
			}
		}
	}
}

// membersByDomain counts the members of groups and plans by domain and model.
func (p *Planner) membersByDomain(v *View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	count := func(domain, model string, n int) {
		if out[domain] == nil {
			out[domain] = make(map[string]int)
		}
		out[domain][model] += n
	}
	for name, g := range v.Snapshot.Groups {
		if g.Service == v.Service.Name && p.plans[name] == nil {
			count(g.Domain, g.Model, len(g.Members))
		}
	}
	for _, pl := range p.plans {
		count(pl.members[0].Domain, pl.model, len(pl.members))
	}
	return out
}

// spareModel returns the model that a spare of a domain should hold: the one for which the loss of a member idles the
// most others, by how many members there are to be lost.
func spareModel(v *View, members map[string]int) (best route.Model, found bool) {
	most := 0
	for _, m := range v.Service.Engine.Models {
		if idled := members[m.Name] * (m.Size - 1); idled > most {
			best, found, most = m, true, idled
		}
	}
	return best, found
}
