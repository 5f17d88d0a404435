package formation

import (
	"math"

	"moorrun.dev/moorrun/internal/endpoint"
)

// spareNeed tells for how many more empty endpoints of each domain a first model is urgent.
type spareNeed struct {
	unlimited bool           // a model is in need, so every first model is urgent
	missing   map[string]int // spares below the expected losses, by domain
}

// newSpareNeed returns the need for spares while no model is in need: as many in each domain as losses are expected there
// within one load time, because a spare loaded after a loss comes one load time late. Spares with any model count, also
// those that are still loading.
func (p *Planner) newSpareNeed(v *View) spareNeed {
	listed, spares := make(map[string]int), make(map[string]int)
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		listed[e.Domain]++
		if p.isFree(v, e) && (len(e.Models)+len(e.Staged) > 0 || p.isLoading(e)) {
			spares[e.Domain]++
		}
	}
	losses := float64(p.loadRates.expectedLosses(v.Now, longestLoad(v.Service.Engine)))
	out := spareNeed{missing: make(map[string]int)}
	for domain, n := range listed {
		share := float64(n) / float64(len(v.Snapshot.Services[v.Service.Name]))
		out.missing[domain] = int(math.Ceil(losses*share)) - spares[domain]
	}
	return out
}

// take reports whether a first model for another endpoint of the domain is urgent, and counts it as a spare.
func (n *spareNeed) take(domain string) bool {
	if n.unlimited {
		return true
	}
	n.missing[domain]--
	return n.missing[domain] >= 0
}

// hasWaited reports whether the endpoint has been empty for so long that its first model is urgent in any case. That is
// half of the longest load, so that it has a model within two load times of being added.
func (p *Planner) hasWaited(v *View, e *endpoint.Endpoint) bool {
	since, known := p.loadRates.emptySince[e.ID]
	return known && v.Now.Sub(since) >= longestLoad(v.Service.Engine)/2
}
