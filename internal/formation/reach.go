package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// reachMargin is how many times as many endpoints keep a second model as conversions could take in the time of a load: groups
// that end should be ones with few requests, so there has to be a choice. Other values have not been tried.
const reachMargin = 2

// reach is how many members of groups should keep a second model while no model is in need. A conversion comes each convertEvery
// at the most, so of a large fleet only some hundred endpoints can change their model before a load that is ordered when the
// need shows has ended: orders for the rest, one for each endpoint of a fleet of any size, would buy nothing.
func reach(e *route.Engine) int {
	load, size := time.Duration(0), 0
	for _, m := range e.Models {
		load, size = max(load, m.Load), max(size, m.Size)
	}
	return reachMargin * int(load/convertEvery) * size
}

// reached is the fabric domains whose members should keep a second model.
type reached struct {
	domains   map[string]bool
	endpoints int // listed when they were drawn
}

// withinReach returns the fabric domains whose members should keep a second model: as many as conversions can reach, whole ones,
// because a group is formed within one, and drawn by hash, so that they spread over the data centres. They are drawn anew when
// endpoints have come or gone.
func (p *Planner) withinReach(v *View) map[string]bool {
	listed := v.Snapshot.Services[v.Service.Name]
	if p.reached.endpoints != len(listed) {
		p.reached = reached{drawReached(listed, reach(v.Service.Engine)), len(listed)}
	}
	return p.reached.domains
}

func drawReached(listed []*endpoint.Endpoint, wanted int) map[string]bool {
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

// inNeed reports whether any model needs more groups.
func (p *Planner) inNeed(v *View) bool {
	have := p.assigned(v)
	return slices.ContainsFunc(v.Service.Engine.Models, func(m route.Model) bool { return p.pressure(v, m, have) >= relaxed })
}
