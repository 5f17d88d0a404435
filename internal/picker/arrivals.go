package picker

import (
	"math"
	"time"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// arrivalsFor is the time constant of the rates of a model's requests: long enough for some requests a node, and as
	// short as a group takes to be formed.
	arrivalsFor = 2 * time.Second
	// objectiveFor is how long the tightest objective is kept after the last request that had it.
	objectiveFor = 10 * time.Second
)

// arrivals are the rates at which requests for a model come, older ones counting exponentially less.
type arrivals struct {
	mix         engine.Mix
	at          time.Time
	objectiveAt time.Time // a request with the tightest objective came last
}

// add counts in a request.
func (a *arrivals) add(w *Want, now time.Time) {
	a.advance(now)
	share, tokens := 1/arrivalsFor.Seconds(), float64(w.PromptTokens)
	a.mix.PerSecond += share
	a.mix.Tokens += share * tokens
	a.mix.Squares += share * tokens * tokens
	switch tightest := a.mix.Objective; {
	case w.Objective <= 0:
	case tightest == 0, w.Objective <= tightest, now.Sub(a.objectiveAt) > objectiveFor:
		a.mix.Objective, a.objectiveAt = w.Objective, now
	}
}

// rates returns the rates now.
func (a *arrivals) rates(now time.Time) engine.Mix {
	a.advance(now)
	return a.mix
}

// demandOf returns what this node lately got to do for a model.
func (p *Picker) demandOf(model string, now time.Time) gossip.Demand {
	d := gossip.Demand{Waiting: p.demand[model], Running: p.busy[model]}
	if a := p.arrivals[model]; a != nil {
		d.Mix = a.rates(now)
	}
	return d
}

// advance lets the rates fall with time.
func (a *arrivals) advance(now time.Time) {
	left := math.Exp(-now.Sub(a.at).Seconds() / arrivalsFor.Seconds())
	a.mix.PerSecond *= left
	a.mix.Tokens *= left
	a.mix.Squares *= left
	a.at = now
}
