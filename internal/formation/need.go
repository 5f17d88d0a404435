package formation

import (
	"cmp"
	"math"
	"slices"

	"moorrun.dev/moorrun/internal/route"
)

// lowPressure is the pressure below which a model needs no more groups.
const lowPressure = 0.4

// pressure is the number of groups that a model needs now divided by the number that it has; have counts endpoints by
// model. Above 1, requests wait or are late.
func (p *Planner) pressure(v *View, m route.Model, have map[string]int) float64 {
	return pressureOf(p.demand.present(v.Service.Engine, m), m, have)
}

// pressureOf divides the number of groups that a model needs by the number that it has.
func pressureOf(needed float64, m route.Model, have map[string]int) float64 {
	groups := float64(have[m.Name]) / float64(max(1, m.Size))
	if groups == 0 {
		return math.Inf(1)
	}
	return needed / groups
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
