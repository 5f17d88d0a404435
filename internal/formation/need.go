package formation

import (
	"cmp"
	"math"
	"slices"

	"moorrun.dev/moorrun/internal/engine"
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

// measure keeps a running mean of each model's requests, running and waiting, and works out how many replica groups
// could read their prompts in time.
func (p *Planner) measure(v *View) {
	for _, m := range v.Service.Engine.Models {
		now := float64(v.Demand[m.Name])
		p.demand[m.Name] += demandSmoothing * (now - p.demand[m.Name])
		p.readers[m.Name] = readers(v.Service.Engine, m, v.Mixes[m.Name])
	}
}

// readers returns how many groups of the model would just read prompts of that mix within their objective, or 0 if that
// cannot be predicted. A model of long prompts and short answers has few requests running and yet needs many groups:
// counted by places alone, two groups of sixteen endpoints were thought to do where a third of the answers were late.
func readers(e *route.Engine, m route.Model, mix engine.Mix) float64 {
	group := engine.Model{Figures: e.Figures, Pace: m.Pace, Writers: comfortable * float64(e.Slots)}
	bears, predicted := group.Bears(mix)
	if !predicted {
		return 0
	}
	return mix.PerSecond / bears
}

// pressure is the part of its groups that a model needs at the least: to give all requests a place, waiting ones
// included, or to read their prompts within the objective. Above 1 requests wait or are late.
func (p *Planner) pressure(v *View, m route.Model, have map[string]int) float64 {
	groups := float64(have[m.Name]) / float64(max(1, m.Size))
	if groups == 0 {
		return math.Inf(1)
	}
	places := max(leastDemand, p.demand[m.Name]) / float64(v.Service.Engine.Slots)
	return max(places, p.readers[m.Name]) / groups
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
