package gossip

import "moorrun.dev/moorrun/internal/engine"

// Demand is what a node lately got to do for a model.
type Demand struct {
	Waiting, Running int        // requests now
	Mix              engine.Mix // of those that have come lately
}

// Sum returns the demand for all models together.
func Sum(demands map[string]Demand) Demand {
	var sum Demand
	for _, d := range demands {
		sum = sum.Plus(d)
	}
	return sum
}

// Plus returns the demand of both.
func (d Demand) Plus(other Demand) Demand {
	d.Waiting += other.Waiting
	d.Running += other.Running
	d.Mix.Add(other.Mix)
	return d
}

// less returns the demand without that of a node that was counted in.
func (d Demand) less(other Demand) Demand {
	return Demand{Waiting: max(0, d.Waiting-other.Waiting), Running: max(0, d.Running-other.Running), Mix: d.Mix.Less(other.Mix)}
}
