package formation

import (
	"cmp"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// minEvictionPressureRatio is the minimum ratio of a model's pressure to that of another model for a group of the first to
// be formed at the cost of a group of the second. The margin keeps groups from switching back and forth.
const minEvictionPressureRatio = 1.5

// candidate is a replica group that could be formed from free endpoints.
type candidate struct {
	domain     string
	members    []*endpoint.Endpoint
	readyIn    time.Duration // time until the group is ready
	groupsLost int           // groups of other models that could no longer be formed without loading weights
	evictions  int           // pairs of a member and another model that the member would evict
}

// compare orders candidates by the cost to other models first, then by the time until they are ready.
func (c *candidate) compare(d *candidate) int {
	return cmp.Or(cmp.Compare(c.groupsLost, d.groupsLost), cmp.Compare(c.evictions, d.evictions), cmp.Compare(c.readyIn, d.readyIn), cmp.Compare(c.domain, d.domain))
}

// fitCache caches, by model and domain, the free endpoints that a group would be formed from. A new plan changes only
// its own domain: fitting every domain again for each of 480 groups took the leader of 3,040 endpoints 3 s.
type fitCache map[string]map[string][]*endpoint.Endpoint

// getOrCompute returns the cached members for the domain, or calls fit and caches its result. A nil cache always calls
// fit.
func (f fitCache) getOrCompute(model, domain string, fit func() []*endpoint.Endpoint) []*endpoint.Endpoint {
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

// invalidate drops the entries of a domain whose free endpoints have changed.
func (f fitCache) invalidate(domain string) {
	for _, domains := range f {
		delete(domains, domain)
	}
}

// bestCandidate returns the best group of the model that the free endpoints allow, or nil. cache holds the results of
// fit for exactly these free endpoints; it is nil for any other set.
func (p *Planner) bestCandidate(v *View, free map[string][]*endpoint.Endpoint, have map[string]int, m route.Model, cache fitCache) *candidate {
	var best *candidate
	for domain, list := range free {
		if r, ok := p.reserved[domain]; ok && r.model != m.Name && v.Now.Before(r.until) {
			continue
		}
		members := cache.getOrCompute(m.Name, domain, func() []*endpoint.Endpoint { return p.fit(v, list, m) })
		if members == nil {
			continue
		}
		c := &candidate{domain: domain, members: members, readyIn: joinTime(m, members)}
		if v.Busy && !p.worthForming(v, p.countCopies(v), have, m, c) {
			continue
		}
		if best == nil || c.compare(best) < 0 {
			best = c
		}
	}
	return best
}

// worthForming adds up what the candidate costs the other models and reports whether it may be formed in spite of that.
// Each model that could form fewer groups must stay at or below its target utilisation with the groups that it could
// still have, or the pressure of m must be at least minEvictionPressureRatio times the pressure of that model then.
func (p *Planner) worthForming(v *View, copiesByModel modelCopies, have map[string]int, m route.Model, c *candidate) bool {
	need := p.pressure(v, m, have)
	for _, other := range v.Service.Engine.Models {
		evicted := 0
		for _, e := range c.members {
			if evicts(e, m, other) {
				evicted++
			}
		}
		lost := copiesByModel.groupsLost(other, c.domain, evicted)
		c.evictions += evicted
		c.groupsLost += lost
		if lost == 0 {
			continue
		}
		if remaining := p.potentialPressure(v, copiesByModel, other, lost); remaining > targetUtilisation && need < minEvictionPressureRatio*remaining {
			return false
		}
	}
	return true
}

// fit returns the best members for a group of the model, or nil if there are too few. Members that evict no model come
// first, then those that could serve no other model, then those ready soonest. While requests arrive, endpoints that
// would first have to load the model from the weight store are not considered; before the first request, loads are fast.
// Endpoints that did not answer their last probe or join are not considered either: one dead member keeps all others of
// the plan from serving until it is abandoned, and other survivors of a broken group are often dead too.
func (p *Planner) fit(v *View, free []*endpoint.Endpoint, m route.Model) []*endpoint.Endpoint {
	var eligible []*endpoint.Endpoint
	for _, e := range free {
		if v.unansweredFor(e.ID) > 0 {
			continue
		}
		if !v.Busy || e.HasLoaded(m.Name) || e.HasStaged(m.Name) && !p.isLoading(e) {
			eligible = append(eligible, e)
		}
	}
	if m.Size <= 0 || len(eligible) < m.Size {
		return nil
	}
	slices.SortStableFunc(eligible, func(a, b *endpoint.Endpoint) int {
		evictsA, hasA := p.countOthers(v, a, m)
		evictsB, hasB := p.countOthers(v, b, m)
		return cmp.Or(cmp.Compare(evictsA, evictsB), cmp.Compare(hasA, hasB), warmth(b, m)-warmth(a, m))
	})
	return eligible[:m.Size:m.Size]
}

// countOthers counts the other models that the endpoint would evict in a group of m, and those that it would keep.
func (p *Planner) countOthers(v *View, e *endpoint.Endpoint, m route.Model) (evictedModels, keptModels int) {
	for _, other := range v.Service.Engine.Models {
		switch {
		case evicts(e, m, other):
			evictedModels++
		case other.Name != m.Name && hasCopy(e, other):
			keptModels++
		}
	}
	return evictedModels, keptModels
}

// warmth ranks how soon the endpoint can be ready for the model: 2 if it holds the model, 1 if the model is staged on
// its host, 0 if the model has to be loaded from the weight store.
func warmth(e *endpoint.Endpoint, m route.Model) int {
	switch {
	case e.HasLoaded(m.Name):
		return 2
	case e.HasStaged(m.Name):
		return 1
	default:
		return 0
	}
}

// joinTime returns an upper bound on the time that the members take to be ready.
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
