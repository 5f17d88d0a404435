package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// conversionMargin is the ratio of endpoints that have a second model to endpoints that conversions could use during
// one load. Conversions end the groups with the fewest requests, so they need more groups to choose from than they end.
const conversionMargin = 2

// convertibleEndpoints returns how many group members should have a second model once requests arrive, while no model is in need. Conversions
// are at least conversionInterval apart, so even in a large fleet only some hundred endpoints can change their model
// before a load ordered when the need arises has ended. Each further load would only
// take a place at the weight store.
func convertibleEndpoints(e *route.Engine) int {
	size := 0
	for _, m := range e.Models {
		size = max(size, m.Size)
	}
	return conversionMargin * int(longestLoad(e)/conversionInterval) * size
}

// domainSelection is the set of fabric domains whose members should have a second model.
type domainSelection struct {
	domains     map[string]bool
	listedCount int // endpoints listed when the domains were selected
}

// selectedDomains returns the fabric domains whose members should have a second model, enough for the endpoints that
// conversions can use. They are whole domains, because a group is formed within one, and are selected by hash, so that
// they spread over the data centres. They are selected again when the number of endpoints changes.
func (p *Planner) selectedDomains(v *View) map[string]bool {
	listed := v.Snapshot.Services[v.Service.Name]
	if p.conversionDomains.listedCount != len(listed) {
		p.conversionDomains = domainSelection{selectDomains(listed, convertibleEndpoints(v.Service.Engine)), len(listed)}
	}
	return p.conversionDomains.domains
}

func selectDomains(listed []*endpoint.Endpoint, wanted int) map[string]bool {
	members := make(map[string]int)
	for _, e := range listed {
		members[e.Domain]++
	}
	names := slices.SortedFunc(maps.Keys(members), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	out := make(map[string]bool)
	for _, name := range names {
		if wanted <= 0 {
			break
		}
		out[name] = true
		wanted -= members[name]
	}
	return out
}

// anyModelInNeed reports whether any model needs more groups.
func (p *Planner) anyModelInNeed(v *View) bool {
	have := p.assignedEndpoints(v)
	return slices.ContainsFunc(v.Service.Engine.Models, func(m route.Model) bool { return p.pressure(v, m, have) >= lowPressure })
}
