package formation

import (
	"math"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/window"
)

const (
	// demandSmoothing is the time constant of the exponential moving average of the requests.
	demandSmoothing = time.Second
	// minDemand is the least demand assumed for every model, in requests.
	minDemand = 2
)

// demand is how many replica groups the requests of a service need, by model: now, and at most within the longest load
// time of its models. What a conversion gives up can be restored only by a load, so a model needs its groups of the
// last peak until a load could finish.
type demand struct {
	requests      map[string]float64              // moving average of running and waiting requests
	prefillGroups map[string]float64              // least number of replica groups that can read a model's prompts in time
	peaks         map[string]*window.Max[float64] // of the groups needed
	span          time.Duration                   // for which the peaks are kept
	since         time.Time                       // of the first observation
	fromStart     bool                            // there were no requests at the first observation, so that all of them have been observed
	updated       time.Time
}

func newDemand() *demand {
	return &demand{requests: make(map[string]float64), prefillGroups: make(map[string]float64)}
}

// update records the requests and mixes of all nodes, by model.
func (d *demand) update(e *route.Engine, requests map[string]int, mixes map[string]engine.Mix, now time.Time) {
	if span := longestLoad(e); d.peaks == nil || span != d.span {
		d.span, d.peaks = span, make(map[string]*window.Max[float64])
	}
	weight := 1 - math.Exp(-now.Sub(d.updated).Seconds()/demandSmoothing.Seconds())
	if d.since.IsZero() {
		weight = 1 // the average starts at the first value
		d.since = now
		d.fromStart = !slices.ContainsFunc(e.Models, func(m route.Model) bool { return requests[m.Name] > 0 })
	}
	d.updated = now
	for _, m := range e.Models {
		d.requests[m.Name] += weight * (float64(requests[m.Name]) - d.requests[m.Name])
		d.prefillGroups[m.Name] = prefillGroupsNeeded(e, m, mixes[m.Name])
		if d.peaks[m.Name] == nil {
			d.peaks[m.Name] = window.NewMax[float64](d.span, now)
		}
		d.peaks[m.Name].Add(d.present(e, m), now)
	}
}

// peakKnown reports whether requests have been observed since the first one, or for as long as the peak is kept.
func (d *demand) peakKnown(now time.Time) bool {
	return d.fromStart || !d.since.IsZero() && now.Sub(d.since) >= d.span
}

// present returns the number of groups that the model needs now: enough to give every request a slot, including waiting
// ones, and to read the prompts within the objective.
func (d *demand) present(e *route.Engine, m route.Model) float64 {
	return max(max(minDemand, d.requests[m.Name])/float64(e.Slots), d.prefillGroups[m.Name])
}

// peak returns the highest number of groups that the model has needed within the longest load time, or needs now.
func (d *demand) peak(e *route.Engine, m route.Model, now time.Time) float64 {
	need := d.present(e, m)
	if kept := d.peaks[m.Name]; kept != nil {
		need = max(need, kept.Value(now))
	}
	return need
}

// longestLoad returns the time that the slowest model takes to load from the weight store.
func longestLoad(e *route.Engine) time.Duration {
	longest := time.Duration(0)
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return longest
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
