package formation

import (
	"cmp"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// gatherFor is how long no endpoint may have appeared before the first groups are formed, if no request has
	// come, and gatherAtMost bounds the wait.
	gatherFor    = 900 * time.Millisecond
	gatherAtMost = 5 * time.Second
	// clearAfter is how long an endpoint may stay free before it is ordered to leave the group that has ended, and
	// clearAgain the pause before the order is repeated.
	clearAfter = 500 * time.Millisecond
	clearAgain = 4 * time.Second
)

// form orders free endpoints into groups, the model that is furthest behind its share first.
func (p *Planner) form(v *View) {
	if p.gathering(v) {
		return
	}
	free := p.freeByDomain(v)
	have := p.assigned(v)
	fits := make(fits)
	for p.formOne(v, free, have, fits) { //nolint:revive // until there is none to order
	}
	p.clear(v, free)
	p.convert(v, free, have)
}

// clear orders endpoints that stay free to leave the groups that have ended, so that a later leader, who does not
// know of the end, need not wait for their heads.
func (p *Planner) clear(v *View, free map[string][]*endpoint.Endpoint) {
	for _, list := range free {
		for _, e := range list {
			if e.Membership == nil || v.Now.Sub(p.ended[e.Membership.Group]) < clearAfter || v.Now.Sub(p.cleared[e.ID]) < clearAgain {
				continue
			}
			p.cleared[e.ID] = v.Now
			p.order(Order{Kind: Leave, Endpoint: e, Group: e.Membership.Group, Epoch: e.Membership.Epoch})
		}
	}
}

// gathering reports whether endpoints are still appearing before the first request: groups formed too soon would
// all be of the model that needs fewest.
func (p *Planner) gathering(v *View) bool {
	if n := len(v.Snapshot.Services[v.Service.Name]); n != p.listed {
		p.listed, p.listedAt = n, v.Now
	}
	return !v.Busy && v.Now.Sub(p.listedAt) < gatherFor && v.Now.Sub(p.started) < gatherAtMost
}

func (p *Planner) freeByDomain(v *View) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if c, asked := v.Contacts[e.ID]; asked && !c.Failed.IsZero() {
			p.ask(e.ID) // it may have come back
		}
		if p.free(v, e) {
			out[e.Domain] = append(out[e.Domain], e)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *endpoint.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// assigned counts the endpoints in groups and plans by model. A group whose head is not listed gets no requests, so its
// members serve nobody.
func (p *Planner) assigned(v *View) map[string]int {
	have := make(map[string]int)
	for name, g := range v.Snapshot.Groups {
		_, ended := p.ended[name]
		if g.Service == v.Service.Name && g.Head != nil && !ended && p.retiring[name] == nil && p.plans[name] == nil {
			have[g.Model] += p.sizeOf(v, g)
		}
	}
	for _, pl := range p.plans {
		have[pl.model] += len(pl.members)
	}
	return have
}

// formOne orders one group and reports whether there was one to order. While requests come, only a model in need
// gets one: what stays free can replace a lost member of either, and an endpoint that changes its model forgets
// the one before. Beside a model that is pressed another one gets what the pressed one cannot use soon, whether it
// needs it or not: it can then give up members that the pressed one can use.
func (p *Planner) formOne(v *View, free map[string][]*endpoint.Endpoint, have map[string]int, fits fits) bool {
	models := p.byNeed(v, have)
	for i, m := range models {
		usable, known := free, fits
		if v.Busy {
			need := p.pressure(v, m, have)
			switch {
			case i > 0 && need < pressed && p.pressure(v, models[0], have) >= pressed:
				usable, known = p.uselessFor(v, models[0], free, need >= relaxed), nil
			case need < relaxed:
				return false
			}
		}
		c := p.bestCandidate(v, usable, have, m, known)
		if c == nil {
			continue
		}
		if p.reserved[c.domain].model == m.Name {
			delete(p.reserved, c.domain)
		}
		free[c.domain] = slices.DeleteFunc(free[c.domain], func(e *endpoint.Endpoint) bool { return slices.Contains(c.members, e) })
		fits.forget(c.domain)
		have[m.Name] += m.Size
		p.plan(v, m.Name, c.members, c.within)
		return true
	}
	return false
}

// uselessFor returns those of the free endpoints that would have to load the model from the weight store, and with
// denied set also those of domains where the model could have a group but may not for what others would lose.
func (p *Planner) uselessFor(v *View, m route.Model, free map[string][]*endpoint.Endpoint, denied bool) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint, len(free))
	for domain, list := range free {
		if denied && p.fit(v, list, m) != nil {
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
