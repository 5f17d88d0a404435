package formation

import (
	"slices"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// formOfSurvivors plans groups of a smaller model from the endpoints that a broken group of a larger model has left, if
// requests of the smaller model wait, and the larger model lacks members in their domain and gets none soon. formOne keeps
// such endpoints for the larger model because of copies of it in groups of the smaller model, although no conversion that is
// allowed brings them together: the fifteen survivors of a group of sixteen then served nothing until a sixteenth had
// loaded the model.
func (p *Planner) formOfSurvivors(v *View, free map[string][]*endpoint.Endpoint, have map[string]int) {
	if !v.Busy {
		return
	}
	for _, larger := range v.Service.Engine.Models {
		for _, smaller := range v.Service.Engine.Models {
			if smaller.Size < larger.Size {
				p.formSmaller(v, free, have, larger, smaller)
			}
		}
	}
}

func (p *Planner) formSmaller(v *View, free map[string][]*endpoint.Endpoint, have map[string]int, larger, smaller route.Model) {
	for domain, list := range free {
		if _, reserved := p.reserved[domain]; reserved || p.pressure(v, smaller, have) <= 1 || len(list) < smaller.Size || p.completedSoon(v, domain, list, larger, smaller) {
			continue
		}
		members := p.survivorsFor(v, list, larger, smaller)
		if members == nil {
			continue
		}
		if p.findConversion(v, free, larger, smaller, p.withPendingConversions(v, have), have) != nil {
			return // one of the next conversions may complete a group of the survivors
		}
		for members != nil && p.pressure(v, smaller, have) > 1 {
			free[domain] = slices.DeleteFunc(free[domain], func(e *endpoint.Endpoint) bool { return slices.Contains(members, e) })
			have[smaller.Name] += smaller.Size
			p.planGroup(v, smaller.Name, members, joinTime(smaller, members))
			members = p.survivorsFor(v, free[domain], larger, smaller)
		}
	}
}

// survivorsFor returns members for a group of the smaller model of which some hold the larger one, or nil. Groups that
// evict nothing of the larger model are planned by formOne.
func (p *Planner) survivorsFor(v *View, list []*endpoint.Endpoint, larger, smaller route.Model) []*endpoint.Endpoint {
	members := p.fit(v, list, smaller)
	if !slices.ContainsFunc(members, func(e *endpoint.Endpoint) bool { return e.HasLoaded(larger.Name) }) {
		return nil
	}
	return members
}

// completedSoon reports whether the free endpoints of a domain form a group of the larger model now or soon. Members of
// retiring groups are free soon. A load ends soon if a group of the smaller model, ended for it, would have served for
// less time than forming and ending it takes.
func (p *Planner) completedSoon(v *View, domain string, free []*endpoint.Endpoint, larger, smaller route.Model) bool {
	usable := 0
	for _, e := range free {
		loading, busy := p.stagings[e.ID]
		switch {
		case hasCopy(e, larger) && !busy, e.HasLoaded(larger.Name):
			usable++
		case loading.model == larger.Name && loading.until.Sub(v.Now)-stageGrace <= conversionTime(smaller):
			usable++
		}
	}
	if usable == 0 {
		return false
	}
	for name := range p.retiring {
		g := v.Snapshot.Groups[name]
		if g == nil || g.Domain != domain {
			continue
		}
		for _, e := range g.Members {
			if hasCopy(e, larger) && !v.isDown(e.ID) {
				usable++
			}
		}
	}
	return usable >= larger.Size
}
