package formation

import (
	"cmp"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// farMorePressed is how many times more pressed a model has to be than the one that loses the ability to form a group by
// it. It is a margin against groups that move to and fro; other values have not been tried.
const farMorePressed = 1.5

// candidate is a replica group that could be formed of free endpoints.
type candidate struct {
	domain  string
	members []*endpoint.Endpoint
	within  time.Duration // it would be ready
	lost    int           // groups of other models that could not be formed any more without loads
	forgets int           // members that would forget the model they hold
}

// compare orders candidates: what costs the other models least comes first, then what is ready soonest.
func (c *candidate) compare(d *candidate) int {
	return cmp.Or(cmp.Compare(c.lost, d.lost), cmp.Compare(c.forgets, d.forgets), cmp.Compare(c.within, d.within), cmp.Compare(c.domain, d.domain))
}

// fits remembers, by model and domain, which free endpoints a group would be formed of. Only the domain of a new plan has
// others then: fitting every domain again for each of 480 groups took the leader of 3,040 endpoints 3 s.
type fits map[string]map[string][]*endpoint.Endpoint

// of returns what fit returned for the domain, or asks it now. Nil remembers nothing.
func (f fits) of(model, domain string, fit func() []*endpoint.Endpoint) []*endpoint.Endpoint {
	if f == nil {
		return fit()
	}
	if f[model] == nil {
		f[model] = make(map[string][]*endpoint.Endpoint)
	}
	members, known := f[model][domain]
	if !known {
		members = fit()
		f[model][domain] = members
	}
	return members
}

// forget forgets a domain, whose free endpoints have changed.
func (f fits) forget(domain string) {
	for _, domains := range f {
		delete(domains, domain)
	}
}

// bestCandidate returns the best group of the model that the free endpoints allow, or nil. Known remembers their fits; it
// is nil if free is not what it remembers them of.
func (p *Planner) bestCandidate(v *View, free map[string][]*endpoint.Endpoint, have map[string]int, m route.Model, known fits) *candidate {
	var best *candidate
	for domain, list := range free {
		if r, ok := p.reserved[domain]; ok && r.model != m.Name && v.Now.Before(r.until) {
			continue
		}
		members := known.of(m.Name, domain, func() []*endpoint.Endpoint { return p.fit(v, list, m) })
		if members == nil {
			continue
		}
		c := &candidate{domain: domain, members: members, within: joinTime(m, members)}
		if v.Busy && !p.worth(v, p.capabilityOf(v), have, m, c) {
			continue
		}
		if best == nil || c.compare(best) < 0 {
			best = c
		}
	}
	return best
}

// worth works out what the candidate costs the other models, and reports whether it may be formed nevertheless: what
// they could still have has to be comfortable for them, or the model has to be far more pressed than they would be.
func (p *Planner) worth(v *View, known capability, have map[string]int, m route.Model, c *candidate) bool {
	need := p.pressure(v, m, have)
	for _, other := range v.Service.Engine.Models {
		forget := 0
		for _, e := range c.members {
			if forgets(e, m, other) {
				forget++
			}
		}
		lost := known.lost(other, c.domain, forget)
		c.forgets += forget
		c.lost += lost
		if lost == 0 {
			continue
		}
		if left := p.shadow(v, known, other, lost); left > comfortable && need < farMorePressed*left {
			return false
		}
	}
	return true
}

// fit returns the best members for a group of the model, or nil if there are too few that need not load it from the
// weight store first: those that forget nothing, then those that could serve no other model, then the quickest. Before
// any request has come loads are quick.
func (p *Planner) fit(v *View, free []*endpoint.Endpoint, m route.Model) []*endpoint.Endpoint {
	var able []*endpoint.Endpoint
	for _, e := range free {
		if !v.Busy || e.Holds(m.Name) || e.HasStaged(m.Name) && !p.loading(e) {
			able = append(able, e)
		}
	}
	if m.Size <= 0 || len(able) < m.Size {
		return nil
	}
	slices.SortStableFunc(able, func(a, b *endpoint.Endpoint) int {
		forgetsA, keepsA := p.others(v, a, m)
		forgetsB, keepsB := p.others(v, b, m)
		return cmp.Or(cmp.Compare(forgetsA, forgetsB), cmp.Compare(keepsA, keepsB), warmth(b, m)-warmth(a, m))
	})
	return able[:m.Size:m.Size]
}

// others counts the other models that the endpoint would forget in a group of m, and those that it would keep.
func (p *Planner) others(v *View, e *endpoint.Endpoint, m route.Model) (forgotten, kept int) {
	for _, other := range v.Service.Engine.Models {
		switch {
		case forgets(e, m, other):
			forgotten++
		case other.Name != m.Name && keeps(e, other):
			kept++
		}
	}
	return forgotten, kept
}

// warmth is higher the sooner the endpoint can be ready for the model.
func warmth(e *endpoint.Endpoint, m route.Model) int {
	switch {
	case e.Holds(m.Name):
		return 2
	case e.HasStaged(m.Name):
		return 1
	default:
		return 0
	}
}

// joinTime is how long the members take to be ready, at the most.
func joinTime(m route.Model, members []*endpoint.Endpoint) time.Duration {
	longest := time.Duration(0)
	for _, e := range members {
		switch warmth(e, m) {
		case 1:
			longest = max(longest, m.Warm)
		case 0:
			longest = max(longest, m.Load)
		}
	}
	return longest + joinGrace
}
