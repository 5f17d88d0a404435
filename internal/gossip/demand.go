package gossip

import "moorrun.dev/moorrun/internal/engine"

// Demand is a node's recent load of requests for a model.
type Demand struct {
	Waiting, Running int        // current number of requests
	Mix              engine.Mix // rate and size of the requests that have arrived recently
}

// SumDemands returns the demand for all models together.
func SumDemands(demands map[string]Demand) Demand {
	var sum Demand
	for _, d := range demands {
		sum = sum.Plus(d)
	}
	return sum
}

// Plus returns the sum of both demands.
func (d Demand) Plus(other Demand) Demand {
	d.Waiting += other.Waiting
	d.Running += other.Running
	d.Mix.Add(other.Mix)
	return d
}

// minus subtracts the demand of a node that is included in d.
func (d Demand) minus(other Demand) Demand {
	return Demand{Waiting: max(0, d.Waiting-other.Waiting), Running: max(0, d.Running-other.Running), Mix: d.Mix.Minus(other.Mix)}
}
