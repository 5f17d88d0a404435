package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// zoneCost is what a request has to save to leave its data centre, in requests that its endpoint has less, if nothing is
	// known of how much later a request more makes the answers there.
	zoneCost = 3.0
	// leastZoneCost keeps requests in their data centre where two groups are alike.
	leastZoneCost = 0.3
	// zoneTime is the same in time: 2 ms for the way to another data centre and back, and 1 ms for the bytes that it carries,
	// which are paid for.
	zoneTime = 3 * time.Millisecond
)

// wayCost is what a group in another data centre costs, in requests. One request more at a group of long prompts makes its
// answers several milliseconds later, so that the way is worth less than one; at a group of short ones it is worth three.
func (p *Picker) wayCost(w *Want, others *gossip.Totals, groups int, now time.Time) float64 {
	demand := others.Demands[w.Model].Plus(p.demandOf(w.Model, now))
	running := float64(demand.Running) / float64(max(1, groups))
	later := w.Engine.Marginal(demand.Mix.Part(groups), running)
	if later <= 0 {
		return zoneCost
	}
	return min(max(leastZoneCost, float64(zoneTime)/float64(later)), zoneCost)
}
