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
)

// staging is a model being loaded to an endpoint's host.
type staging struct {
	model string    // empty if it is not known: an earlier leader has ordered it
	since time.Time // it was ordered, or found to be under way
	until time.Time // it should have ended by then
}

// stage loads models to hosts: before any request has come the other model to the hosts that conversions can reach, so that
// these endpoints can soon serve either; later what a domain lacks for a group of the model in need, then a first model to free
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
		if p.cold(v, e) {
			out = append(out, load{e, soonest})
		}
	}
	return out
}

// cold reports whether the endpoint is free, has no model and is being given none.
func (p *Planner) cold(v *View, e *endpoint.Endpoint) bool {
	return len(e.Models)+len(e.Staged) == 0 && !p.loading(e) && p.free(v, e)
}

// oneSided reports whether the endpoint holds one model, keeps no other, and could be given one beside it.
func (p *Planner) oneSided(e *endpoint.Endpoint) bool {
	if p.loading(e) || e.Draining || e.Membership != nil && e.Membership.State == endpoint.Joining {
		return false
	}
	return len(e.Models) > 0 && !keepsAnother(e)
}

// forOneSided returns the endpoints that keep only the model that they hold, with another one, the scarcest first: the
// one whose requests would fill the largest part of the places that it could have. While no model is in need those are left out
// that conversions cannot reach.
func (p *Planner) forOneSided(v *View) []load {
	known := p.capabilityOf(v)
	scarcity := make(map[string]float64)
	for _, m := range v.Service.Engine.Models {
		scarcity[m.Name] = p.shadow(v, known, m, 0)
	}
	within, inNeed := p.withinReach(v), p.inNeed(v)
	var out []load
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if !inNeed && !within[e.Domain] || !p.oneSided(e) || v.down(e.ID) {
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
