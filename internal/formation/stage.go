package formation

import (
	"cmp"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// stagePart is the part of the weight store's rate that is used.
	stagePart = 0.5
	// stageGrace is what staging may take beyond the load.
	stageGrace = 4 * time.Second
	// settle is how long a new tenure starts no loads: the one before may have.
	settle = time.Second
	// surveyFor is how long a new tenure asks for loads that are under way; most answer at once, and no load begins
	// before settle.
	surveyFor = 900 * time.Millisecond
	// surveyAgain is after how long an endpoint that loads an unknown model is asked whether it has ended. An answer is
	// some hundred milliseconds old, and each question is priced.
	surveyAgain = time.Second
)

// staging is a model being loaded to an endpoint's host.
type staging struct {
	model string    // empty if it is not known: an earlier leader has ordered it
	since time.Time // it was ordered, or found to be under way
	until time.Time // it should have ended by then
}

// stage loads models to hosts: before any request has come the other model to every host, so that each endpoint
// can soon serve either; later what a domain lacks for a group of the model in need, then a first model to free
// endpoints that hold none, and then the other model to those that have forgotten it.
func (p *Planner) stage(v *View) {
	if !v.Busy {
		p.followStagings(v)
		p.stageOthers(v)
		return
	}
	p.survey(v)
	running := p.followStagings(v)
	for _, c := range p.completions(v) {
		for _, e := range c.from[:c.missing] {
			if _, busy := p.stagings[e.ID]; !busy && !p.stageWithin(v, &running, e, c.model) {
				return
			}
		}
	}
	for _, l := range p.forCold(v) {
		if !p.stageWithin(v, &running, l.endpoint, l.model) {
			return
		}
	}
	for _, l := range p.forOneSided(v) {
		if !p.stageWithin(v, &running, l.endpoint, l.model) {
			return
		}
	}
}

// load is a model that an endpoint's host could be given.
type load struct {
	endpoint *endpoint.Endpoint
	model    route.Model
}

// loading reports whether a model is being loaded to the endpoint's host. A join to a model from the host waits for
// that; one to the model that the endpoint holds does not.
func (p *Planner) loading(e *endpoint.Endpoint) bool {
	_, busy := p.stagings[e.ID]
	return busy
}

// followStagings forgets the loads that have ended and returns how many are under way.
func (p *Planner) followStagings(v *View) int {
	for id, s := range p.stagings {
		e := v.Snapshot.Endpoints[id]
		if e == nil || e.HasStaged(s.model) || v.Now.After(s.until) {
			delete(p.stagings, id)
			continue
		}
		if s.model != "" {
			continue
		}
		c := v.Contacts[id]
		if c.Answered.After(s.since) && !c.Busy {
			delete(p.stagings, id)
			continue
		}
		if v.Now.Sub(c.Answered) > surveyAgain {
			p.ask(id)
		}
	}
	return len(p.stagings)
}

// survey finds the loads that an earlier leader has begun. It asks the endpoints listed at the beginning of the tenure
// whose hosts lack a model, once; what they do later is this leader's own doing.
func (p *Planner) survey(v *View) {
	if v.Now.Sub(p.started) > surveyFor {
		return
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		c := v.Contacts[e.ID]
		if p.surveyed[e.ID] || e.Draining || keepsAnother(e) || p.loading(e) {
			continue
		}
		if !c.Answered.After(p.started) {
			p.ask(e.ID)
			continue
		}
		p.surveyed[e.ID] = true
		if c.Busy && (e.Membership == nil || e.Membership.State != endpoint.Joining) {
			p.stagings[e.ID] = staging{since: v.Now, until: v.Now.Add(p.longestLoad(v) + stageGrace)}
			p.note("model is being loaded already", "", "endpoint", e.ID)
		}
	}
}

func (p *Planner) longestLoad(v *View) time.Duration {
	longest := time.Duration(0)
	for _, m := range v.Service.Engine.Models {
		longest = max(longest, m.Load)
	}
	return longest
}

// stageWithin loads the model to the endpoint's host and reports true, unless enough loads are running.
func (p *Planner) stageWithin(v *View, running *int, e *endpoint.Endpoint, m route.Model) bool {
	if *running >= max(1, v.Service.Engine.LoadsAtOnce) || !p.mayLoad(v) {
		return false
	}
	p.stageOne(v, e, m)
	*running++
	return true
}

// forCold returns the free endpoints without any model, with the one that each can have soonest.
func (p *Planner) forCold(v *View) []load {
	var soonest route.Model
	for _, m := range v.Service.Engine.Models {
		if soonest.Name == "" || m.Load < soonest.Load {
			soonest = m
		}
	}
	var out []load
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if len(e.Models)+len(e.Staged) == 0 && !p.loading(e) && p.free(v, e) {
			out = append(out, load{e, soonest})
		}
	}
	return out
}

// forOneSided returns the endpoints that keep only the model that they hold, with another one, the scarcest first: the
// one whose requests would fill the largest part of the places that it could have.
func (p *Planner) forOneSided(v *View) []load {
	known := p.capabilityOf(v)
	scarcity := make(map[string]float64)
	for _, m := range v.Service.Engine.Models {
		scarcity[m.Name] = p.shadow(v, known, m, 0)
	}
	var out []load
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.loading(e) || e.Draining || v.down(e.ID) || len(e.Models) == 0 || keepsAnother(e) || e.Membership != nil && e.Membership.State == endpoint.Joining {
			continue
		}
		var lacks []route.Model
		for _, m := range v.Service.Engine.Models {
			if !e.Holds(m.Name) {
				lacks = append(lacks, m)
			}
		}
		if len(lacks) == 0 {
			continue
		}
		out = append(out, load{e, slices.MaxFunc(lacks, func(a, b route.Model) int { return cmp.Compare(scarcity[a.Name], scarcity[b.Name]) })})
	}
	slices.SortStableFunc(out, func(a, b load) int { return cmp.Compare(scarcity[b.model.Name], scarcity[a.model.Name]) })
	return out
}

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

// keepsAnother reports whether the host holds a model that the endpoint does not run.
func keepsAnother(e *endpoint.Endpoint) bool {
	for _, m := range e.Staged {
		if !e.Holds(m) {
			return true
		}
	}
	return false
}

func (p *Planner) stageOne(v *View, e *endpoint.Endpoint, m route.Model) {
	p.stagings[e.ID] = staging{m.Name, v.Now, v.Now.Add(m.Load + stageGrace)}
	p.loads = append(p.loads, v.Now)
	p.note("model staged", "", "endpoint", e.ID, "model", m.Name)
	p.order(Order{Kind: Stage, Endpoint: e, Model: m.Name})
}

// mayLoad keeps the loads of this tenure below the weight store's rate.
func (p *Planner) mayLoad(v *View) bool {
	if v.Now.Sub(p.started) < settle {
		return false
	}
	recent := 0
	for i := len(p.loads) - 1; i >= 0 && v.Now.Sub(p.loads[i]) < time.Second; i-- {
		recent++
	}
	return float64(recent) < stagePart*v.Service.Engine.LoadsPerSecond
}
