package formation

import (
	"cmp"
	"math"
	"slices"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/route"
)

const (
	// lowPressure is the pressure below which a model needs no more groups.
	lowPressure = 0.4
	// demandSmoothing is the weight of one step's demand in the exponential moving average.
	demandSmoothing = 0.06
	// minDemand is the least demand assumed for every model, in requests.
	minDemand = 2
)

// updateDemand updates the moving average of each model's running and waiting requests, and the number of replica
// groups that its prompts need.
func (p *Planner) updateDemand(v *View) {
	for _, m := range v.Service.Engine.Models {
		now := float64(v.Demand[m.Name])
		p.demand[m.Name] += demandSmoothing * (now - p.demand[m.Name])
		p.prefillGroups[m.Name] = prefillGroupsNeeded(v.Service.Engine, m, v.Mixes[m.Name])
	}
}

// prefillGroupsNeeded returns the least number of groups, as a fraction, that can read (prefill) prompts of that mix within the
// model's objective, or 0 if that cannot be predicted. A model with long prompts and short answers has few running
// requests but needs many groups: when only request slots were counted, two groups of sixteen endpoints were
// considered enough where a third of the answers were late.
func prefillGroupsNeeded(e *route.Engine, m route.Model, mix engine.Mix) float64 {
	group := engine.Model{Figures: e.Figures, Pace: m.Pace, Writers: targetUtilisation * float64(e.Slots)}
	capacity, predicted := group.Capacity(mix)
	if !predicted {
		return 0
	}
	return mix.PerSecond / capacity
}

// pressure is the number of groups that a model needs divided by the number that it has; have counts endpoints by
// model. It needs enough groups to give every request a slot, including waiting ones, and to read the prompts within
// the objective. Above 1, requests wait or are late.
func (p *Planner) pressure(v *View, m route.Model, have map[string]int) float64 {
	groups := float64(have[m.Name]) / float64(max(1, m.Size))
	if groups == 0 {
		return math.Inf(1)
	}
	groupsForSlots := max(minDemand, p.demand[m.Name]) / float64(v.Service.Engine.Slots)
	return max(groupsForSlots, p.prefillGroups[m.Name]) / groups
}

// modelsByNeed returns the models, most in need first: by pressure while requests arrive, before that by how far they
// are behind their share of the endpoints.
func (p *Planner) modelsByNeed(v *View, have map[string]int) []route.Model {
	models := slices.Clone(v.Service.Engine.Models)
	slices.SortStableFunc(models, func(a, b route.Model) int {
		if v.Busy {
			return cmp.Compare(p.pressure(v, b, have), p.pressure(v, a, have))
		}
		return cmp.Compare(endpointsPerShare(a, have), endpointsPerShare(b, have))
	})
	return models
}

// endpointsPerShare is the number of endpoints of a model divided by its configured share of the work.
func endpointsPerShare(m route.Model, have map[string]int) float64 {
	return float64(have[m.Name]) / max(m.Share, 0.01)
}
