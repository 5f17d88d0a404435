package picker

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// rateTimeConstant is the time constant of a model's arrival rates. It is long enough to cover several requests per node,
	// and about as short as the forming of a group.
	rateTimeConstant = 2 * time.Second
	// objectiveRetention is how long the tightest objective is kept after the last request that had it.
	objectiveRetention = 10 * time.Second
)

// arrivals holds the exponentially decaying arrival rates of requests for a model.
type arrivals struct {
	mix         engine.Mix
	updated     time.Time // up to which mix has decayed
	objectiveAt time.Time // last arrival of a request with the tightest objective
}

// add counts a request.
func (a *arrivals) add(w *Requirements, now time.Time) {
	a.decay(now)
	weight, tokens := 1/rateTimeConstant.Seconds(), float64(w.PromptTokens)
	a.mix.PerSecond += weight
	a.mix.Tokens += weight * tokens
	a.mix.Squares += weight * tokens * tokens
	switch tightest := a.mix.Objective; {
	case w.Objective <= 0:
	case tightest == 0, w.Objective <= tightest, now.Sub(a.objectiveAt) > objectiveRetention:
		a.mix.Objective, a.objectiveAt = w.Objective, now
	}
}

// rates returns the rates decayed to now.
func (a *arrivals) rates(now time.Time) engine.Mix {
	a.decay(now)
	return a.mix
}

// demandOf returns this node's waiting and running requests and recent arrival rates for a model.
func (p *Picker) demandOf(model string, now time.Time) gossip.Demand {
	d := gossip.Demand{Waiting: p.waitingByModel[model], Running: p.runningByModel[model]}
	if a := p.arrivals[model]; a != nil {
		d.Mix = a.rates(now)
	}
	return d
}

// decay reduces the rates by the time since the last call.
func (a *arrivals) decay(now time.Time) {
	factor := math.Exp(-now.Sub(a.updated).Seconds() / rateTimeConstant.Seconds())
	a.mix.PerSecond *= factor
	a.mix.Tokens *= factor
	a.mix.Squares *= factor
	a.updated = now
}
