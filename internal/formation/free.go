package formation

import (
	"cmp"
	"maps"
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
)

// freeByDomain returns the endpoints that are free according to the list.
func (p *Planner) freeByDomain(v *View) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		if c, asked := v.Contacts[e.ID]; asked && !c.FailedSince.IsZero() {
			p.requestProbe(e.ID) // it may be reachable again
		}
		if p.isFree(v, e) {
			out[e.Domain] = append(out[e.Domain], e)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *endpoint.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// joinableByDomain returns those of the free endpoints that may join a group, and seeks a proof for the others. It leaves out domains where
// one of them is likely to have a proof soon.
func (p *Planner) joinableByDomain(v *View, free map[string][]*endpoint.Endpoint) map[string][]*endpoint.Endpoint {
	out := make(map[string][]*endpoint.Endpoint, len(free))
	sought := 0
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		var joinable []*endpoint.Endpoint
		awaited := false
		for _, e := range free[domain] {
			c := p.confirmationOf(e.ID)
			_, proven := p.joinProof(e)
			switch {
			case proven && !c.refusals.isBackingOff(v.Now):
				c.search = proofSearch{}
				joinable = append(joinable, e)
			case proven || v.unansweredFor(e.ID) > 0:
			case c.search.isOverdue(v.Now):
				p.seekProof(v, e, c)
			default:
				if sought++; sought <= maxProofsSought {
					p.seekProof(v, e, c)
				}
				awaited = awaited || !c.refusals.isBackingOff(v.Now)
			}
		}
		if !awaited {
			out[domain] = joinable
		}
	}
	return out
}

// removeCommitted removes the endpoints that are in plans now.
func (p *Planner) removeCommitted(free map[string][]*endpoint.Endpoint) {
	for domain, list := range free {
		free[domain] = slices.DeleteFunc(list, func(e *endpoint.Endpoint) bool { return p.commitments.contains(e.ID) })
	}
}
