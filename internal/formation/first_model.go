package formation

import (
	"cmp"
	"math"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// firstModels returns the loads of a first model onto the free endpoints without any, the urgent and the speculative
// ones.
func (p *Planner) firstModels(v *View, short []shortfall) (urgent, speculative []stageTarget) {
	var cold []*endpoint.Endpoint
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if p.isCold(v, e) {
			cold = append(cold, e)
		}
	}
	if len(cold) == 0 {
		return nil, nil // what follows visits every endpoint
	}
	choice := p.newFirstModelChoice(short)
	needed := spareNeed{unlimited: true}
	if len(short) == 0 { // no model is in need, because each that is lacks the empty endpoints
		needed = p.newSpareNeed(v)
	}
	for _, e := range cold {
		l := p.firstModel(&choice, v, e)
		switch waited := p.hasWaited(v, e); {
		case waited:
			l.rank = math.Inf(1)
			urgent = append(urgent, l)
		case needed.take(e.Domain):
			urgent = append(urgent, l)
		default:
			l.speculative = true
			speculative = append(speculative, l)
		}
	}
	return urgent, speculative
}

// firstModelRule selects the load of a first model onto an empty endpoint.
type firstModelRule func(c *firstModelChoice, v *View, e *endpoint.Endpoint) stageTarget

// firstModelChoice selects first models for the empty endpoints of each domain.
type firstModelChoice struct {
	planner         *Planner
	short           map[string][]shortfall    // by domain
	members, spares map[string]map[string]int // by domain and model; nil until a spare is selected
}

func (p *Planner) newFirstModelChoice(short []shortfall) firstModelChoice {
	c := firstModelChoice{planner: p, short: make(map[string][]shortfall)}
	for _, s := range short {
		c.short[s.domain] = append(c.short[s.domain], s)
	}
	return c
}

// mostLacked returns the load of a first model onto the endpoint, and counts it for the other endpoints of the domain. The model
// is the one whose groups lack the endpoint most: of the models in need, one that the domain can complete a group of,
// otherwise the one with the highest pressure. If no model is in need, the endpoint becomes a spare.
func (c *firstModelChoice) mostLacked(v *View, e *endpoint.Endpoint) stageTarget {
	list := c.short[e.Domain]
	if len(list) == 0 {
		m := c.spare(v, e.Domain)
		return stageTarget{endpoint: e, model: m}
	}
	best := 0
	for i := range list {
		if compareFirstModels(&list[i], &list[best]) < 0 {
			best = i
		}
	}
	s := &list[best]
	// A group that the domain cannot complete yet depends on endpoints that may never come.
	likely := min(1, float64(len(s.loadable))/float64(max(1, s.missing)))
	l := stageTarget{endpoint: e, model: s.model, rank: s.rank * likely}
	if s.missing--; s.missing == 0 { // the next endpoint begins another group
		s.missing = max(1, s.model.Size)
		s.rank = completionRank(s.model, s.pressure, s.missing)
	}
	for i := range list {
		list[i].loadable = slices.DeleteFunc(slices.Clone(list[i].loadable), func(other *endpoint.Endpoint) bool { return other == e })
	}
	return l
}

// compareFirstModels orders models for an empty endpoint of their domain, the one that lacks it most first.
func compareFirstModels(a, b *shortfall) int {
	switch {
	case a.completable() != b.completable():
		if a.completable() {
			return -1
		}
		return 1
	case a.completable():
		return cmp.Compare(b.rank, a.rank)
	default:
		return cmp.Compare(b.pressure, a.pressure)
	}
}

// spare returns the model for one more spare of the domain, which is the fastest to load if the domain has no groups.
func (c *firstModelChoice) spare(v *View, domain string) route.Model {
	if c.members == nil { // the counts visit every endpoint and plan
		c.members, c.spares = c.planner.membersByDomain(v), c.planner.sparesByDomain(v)
	}
	m, found := spareModel(v, c.members[domain], c.spares[domain])
	if !found {
		m = fastestToLoad(v.Service.Engine)
	}
	addCount(c.spares, domain, m.Name, 1)
	return m
}

// fastestToLoad returns the model with the shortest load.
func fastestToLoad(e *route.Engine) route.Model {
	return slices.MinFunc(e.Models, func(a, b route.Model) int { return cmp.Compare(a.Load, b.Load) })
}
