package formation

import (
	"cmp"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// maxLoadRateFraction is the fraction of the weight store's load rate that is used.
	maxLoadRateFraction = 0.5
	// stageGrace is the time that staging may take in addition to the load.
	stageGrace = 4 * time.Second
	// firstLoadDelay is how long a new tenure orders no loads or conversions: the previous one may just have done so.
	firstLoadDelay = time.Second
)

// staging is a model being loaded onto an endpoint's host.
type staging struct {
	model   string    // empty if unknown, because an earlier leader ordered it
	since   time.Time // when it was ordered or found to be in progress
	until   time.Time // when it should have ended
	purpose LoadPurpose
}

// stageModels loads models onto hosts. Before the first request it stages a first model for free endpoints without one,
// and a second model for the endpoints that conversions can use, so that they can soon serve either. Later it stages what
// a domain lacks for a group of a model in need, then a first model for free endpoints without one, and then a second
// model for endpoints that have only one.
func (p *Planner) stageModels(v *View) {
	if !v.Busy {
		p.stageBeforeTraffic(v, p.updateStagings(v))
		return
	}
	p.survey(v)
	running := p.updateStagings(v)
	for _, c := range p.shortfalls(v) {
		for _, e := range c.loadable[:c.missing] {
			if _, busy := p.stagings[e.ID]; !busy && !p.stageIfAllowed(v, &running, e, c.model, LoadForGroup) {
				return
			}
		}
	}
	for _, l := range p.coldTargets(v) {
		if !p.stageIfAllowed(v, &running, l.endpoint, l.model, LoadFirst) {
			return
		}
	}
	for _, l := range p.secondModelTargets(v) {
		if !p.stageIfAllowed(v, &running, l.endpoint, l.model, LoadSecond) {
			return
		}
	}
}

// stageTarget is an endpoint and a model that could be staged on its host.
type stageTarget struct {
	endpoint *endpoint.Endpoint
	model    route.Model
}

// isLoading reports whether a model is being loaded onto the endpoint's host. A join that uses a staged model waits for
// that load; a join that uses the model the endpoint already holds does not.
func (p *Planner) isLoading(e *endpoint.Endpoint) bool {
	_, busy := p.stagings[e.ID]
	return busy
}

// isOrdered reports whether an order to the endpoint has no outcome yet. Two orders at a time may arrive in either order, and the second
// would name an outdated sequence.
func (p *Planner) isOrdered(e *endpoint.Endpoint) bool {
	c := p.confirmed[e.ID]
	return c != nil && c.inFlight > 0
}

// updateStagings removes the loads that have ended and returns how many are in progress.
func (p *Planner) updateStagings(v *View) int {
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
		if c.LastAnswer.After(s.since) && !c.Busy {
			delete(p.stagings, id)
			continue
		}
		if v.Now.Sub(c.LastAnswer) > surveyRetryInterval {
			p.requestProbe(id)
		}
	}
	return len(p.stagings)
}

// stageIfAllowed stages the model and returns true, or returns false if a limit on loads is reached.
func (p *Planner) stageIfAllowed(v *View, running *int, e *endpoint.Endpoint, m route.Model, purpose LoadPurpose) bool {
	if *running >= max(1, v.Service.Engine.LoadsAtOnce) || !p.loadAllowed(v) {
		return false
	}
	p.stageModel(v, e, m, purpose)
	*running++
	return true
}

// coldTargets returns the free endpoints without any model, each with the model that loads fastest.
func (p *Planner) coldTargets(v *View) []stageTarget {
	var soonest route.Model
	for _, m := range v.Service.Engine.Models {
		if soonest.Name == "" || m.Load < soonest.Load {
			soonest = m
		}
	}
	var out []stageTarget
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.isCold(v, e) {
			out = append(out, stageTarget{e, soonest})
		}
	}
	return out
}

// isCold reports whether the endpoint is free, has no model and is being given none.
func (p *Planner) isCold(v *View, e *endpoint.Endpoint) bool {
	return len(e.Models)+len(e.Staged) == 0 && !p.isLoading(e) && p.isFree(v, e) && !p.isOrdered(e)
}

// canTakeSecondModel reports whether the endpoint holds a model, has no other staged, and can load one now.
func (p *Planner) canTakeSecondModel(e *endpoint.Endpoint) bool {
	if p.isLoading(e) || e.Draining || p.isOrdered(e) || e.Membership != nil && e.Membership.State == endpoint.Joining {
		return false
	}
	return len(e.Models) > 0 && !hasOtherModelStaged(e)
}

// secondModelTargets returns the endpoints that have only the model they hold, each with another model, the scarcest
// first: the one with the highest pressure if it had every endpoint with a copy. While no model is in need, endpoints
// that conversions cannot use are left out.
func (p *Planner) secondModelTargets(v *View) []stageTarget {
	copiesByModel := p.countCopies(v)
	scarcity := make(map[string]float64)
	for _, m := range v.Service.Engine.Models {
		scarcity[m.Name] = p.potentialPressure(v, copiesByModel, m, 0)
	}
	selected, inNeed := p.selectedDomains(v), p.anyModelInNeed(v)
	var out []stageTarget
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if !inNeed && !selected[e.Domain] || !p.canTakeSecondModel(e) || v.isDown(e.ID) {
			continue
		}
		var lacks []route.Model
		for _, m := range v.Service.Engine.Models {
			if !e.HasLoaded(m.Name) {
				lacks = append(lacks, m)
			}
		}
		if len(lacks) == 0 {
			continue
		}
		out = append(out, stageTarget{e, slices.MaxFunc(lacks, func(a, b route.Model) int { return cmp.Compare(scarcity[a.Name], scarcity[b.Name]) })})
	}
	slices.SortStableFunc(out, func(a, b stageTarget) int { return cmp.Compare(scarcity[b.model.Name], scarcity[a.model.Name]) })
	return out
}

// hasOtherModelStaged reports whether the host has a staged model that the endpoint does not hold.
func hasOtherModelStaged(e *endpoint.Endpoint) bool {
	for _, m := range e.Staged {
		if !e.HasLoaded(m) {
			return true
		}
	}
	return false
}

func (p *Planner) stageModel(v *View, e *endpoint.Endpoint, m route.Model, purpose LoadPurpose) {
	p.stagings[e.ID] = staging{m.Name, v.Now, v.Now.Add(m.Load + stageGrace), purpose}
	p.loadStarts = append(p.loadStarts, v.Now)
	p.note("model staged", "", "endpoint", e.ID, "domain", e.Domain, "model", m.Name, "purpose", string(purpose))
	p.addOrder(Order{Kind: Stage, Endpoint: e, Model: m.Name})
}

// loadAllowed reports whether another load stays within this tenure's part of the weight store's rate.
func (p *Planner) loadAllowed(v *View) bool {
	if v.Now.Sub(p.started) < firstLoadDelay {
		return false
	}
	recent := 0
	for i := len(p.loadStarts) - 1; i >= 0 && v.Now.Sub(p.loadStarts[i]) < time.Second; i-- {
		recent++
	}
	return float64(recent) < maxLoadRateFraction*v.Service.Engine.LoadsPerSecond
}
