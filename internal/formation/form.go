package formation

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// gatherQuietPeriod is how long the number of endpoints must have been constant before the first groups are formed,
	// unless a request has arrived; gatherTimeout limits the wait.
	gatherQuietPeriod = 900 * time.Millisecond
	gatherTimeout     = 5 * time.Second
	// staleMemberDelay is how long after the end of its group a free endpoint is ordered to leave it, and
	// staleMemberRetry the interval at which the order is repeated.
	staleMemberDelay = 500 * time.Millisecond
	staleMemberRetry = 4 * time.Second
)

// form plans groups of free endpoints, for the model most in need first.
func (p *Planner) form(v *View) {
	free := p.freeByDomain(v)
	joinable := p.joinableByDomain(v, free)
	if p.awaitingEndpoints(v) {
		return
	}
	have := p.assignedEndpoints(v)
	fits := make(fitCache)
	for p.formOne(v, joinable, have, fits) { //nolint:revive // until no further group can be planned
	}
	p.removeCommitted(free)
	p.clearStaleMembers(v, free)
	p.convert(v, free, have)
}

// clearStaleMembers orders endpoints that stay free to leave groups that have ended. A later leader has no record that
// the group has ended and would otherwise have to wait for its head.
func (p *Planner) clearStaleMembers(v *View, free map[string][]*endpoint.Endpoint) {
	for _, list := range free {
		for _, e := range list {
			if e.Membership == nil || v.Now.Sub(p.ended[e.Membership.Group].at) < staleMemberDelay || v.Now.Sub(p.leaveOrdered[e.ID]) < staleMemberRetry {
				continue
			}
			if c := p.confirmationOf(e.ID); c.known && c.membership == nil {
				continue // its entry is late
			}
			p.leaveOrdered[e.ID] = v.Now
			p.addOrder(Order{Kind: Leave, Endpoint: e, Group: e.Membership.Group, Epoch: e.Membership.Epoch})
		}
	}
}

// awaitingEndpoints reports whether endpoints are still appearing before the first request: groups formed too early
// would all be of the model that needs the fewest members.
func (p *Planner) awaitingEndpoints(v *View) bool {
	if n := len(v.Snapshot.Services[v.Service.Name]); n != p.endpointCount {
		p.endpointCount, p.endpointCountChanged = n, v.Now
	}
	return !v.Busy && v.Now.Sub(p.endpointCountChanged) < gatherQuietPeriod && v.Now.Sub(p.started) < gatherTimeout
}

// assignedEndpoints counts the endpoints in groups and plans by model. A group whose head is not listed gets no
// requests, so its members are not counted.
func (p *Planner) assignedEndpoints(v *View) map[string]int {
	have := make(map[string]int)
	for name, g := range v.Snapshot.Groups {
		_, ended := p.ended[name]
		if g.Service == v.Service.Name && g.Head != nil && !ended && p.retiring[name] == nil && p.plans[name] == nil {
			have[g.Model] += p.groupSize(v, g)
		}
	}
	for _, pl := range p.plans {
		have[pl.model] += len(pl.members)
	}
	return have
}

// formOne plans one group and reports whether there was one to plan. While requests arrive, only a model in need gets a
// group: endpoints that stay free can replace a lost member of either model, and an endpoint that changes its model
// evicts the previous one. While one model is under high pressure, the other model gets the endpoints that the first
// cannot use soon, even if it is not in need: it can then give up members that the first model can use.
func (p *Planner) formOne(v *View, free map[string][]*endpoint.Endpoint, have map[string]int, fits fitCache) bool {
	models := p.modelsByNeed(v, have)
	for i, m := range models {
		usable, cache := free, fits
		if v.Busy {
			need := p.pressure(v, m, have)
			switch {
			case i > 0 && need < highPressure && p.pressure(v, models[0], have) >= highPressure:
				usable, cache = p.notUsableBy(v, models[0], free, need >= lowPressure), nil
			case need < lowPressure:
				return false
			}
		}
		c := p.bestCandidate(v, usable, have, m, cache)
		if c == nil {
			continue
		}
		if p.reserved[c.domain].model == m.Name {
			delete(p.reserved, c.domain)
		}
		free[c.domain] = slices.DeleteFunc(free[c.domain], func(e *endpoint.Endpoint) bool { return slices.Contains(c.members, e) })
		fits.invalidate(c.domain)
		have[m.Name] += m.Size
		p.planGroup(v, m.Name, c.members, c.readyIn)
		return true
	}
	return false
}

// notUsableBy returns those free endpoints that would have to load the model from the weight store. With
// includeRejected it also returns those of domains where a group of the model could be formed but was rejected for its
// cost to other models.
func (p *Planner) notUsableBy(v *View, m route.Model, free map[string][]*endpoint.Endpoint, includeRejected bool) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint, len(free))
	for domain, list := range free {
		if includeRejected && p.fit(v, list, m) != nil {
			out[domain] = list
			continue
		}
		for _, e := range list {
			if warmth(e, m) == 0 && p.stagings[e.ID].model != m.Name {
				out[domain] = append(out[domain], e)
			}
		}
	}
	return out
}
