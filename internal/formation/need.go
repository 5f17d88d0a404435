package formation

import (
	"cmp"
	"math"
	"slices"

	"moorrun.dev/moorrun/internal/route"
)

const (
	// relaxed is the part of a model's places in use below which it needs no more groups.
	relaxed = 0.4
	// demandSmoothing is the weight of one step's demand in the running mean.
	demandSmoothing = 0.06
	// leastDemand is assumed of every model, in requests.
	leastDemand = 2
)

// measure keeps a running mean of each model's requests, running and waiting.
func (p *Planner) measure(v *View) {
	for _, m := range v.Service.Engine.Models {
		now := float64(v.Demand[m.Name])
		p.demand[m.Name] += demandSmoothing * (now - p.demand[m.Name])
	}
}

// pressure is the part of a model's places in use, waiting requests included; above 1 requests wait.
func (p *Planner) pressure(v *View, m route.Model, have map[string]int) float64 {
	places := float64(v.Service.Engine.Slots) * float64(have[m.Name]) / float64(max(1, m.Size))
	if places == 0 {
		return math.Inf(1)
	}
	return max(leastDemand, p.demand[m.Name]) / places
}

// byNeed orders the models: while requests come by pressure, before that by how far they are behind their share.
func (p *Planner) byNeed(v *View, have map[string]int) []route.Model {
	models := slices.Clone(v.Service.Engine.Models)
	slices.SortStableFunc(models, func(a, b route.Model) int {
		if v.Busy {
			return cmp.Compare(p.pressure(v, b, have), p.pressure(v, a, have))
		}
		return cmp.Compare(supply(a, have), supply(b, have))
	})
	return models
}

// supply is the number of endpoints a model has for each part of the work.
func supply(m route.Model, have map[string]int) float64 {
	return float64(have[m.Name]) / max(m.Share, 0.01)
}
