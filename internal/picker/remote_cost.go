package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// defaultRemoteCost is the cost of an endpoint in another data centre, in requests, if the latency that one more request
	// adds there is unknown.
	defaultRemoteCost = 3.0
	// minRemoteCost, in requests, keeps requests in their data centre where two groups are equal.
	minRemoteCost = 0.3
	// remoteTimeCost is the cost of another data centre as time: 2 ms for the round trip, and 1 ms for the traffic between data
	// centres, which is charged for.
	remoteTimeCost = 3 * time.Millisecond
)

// remoteCost returns the cost of a group in another data centre, in requests. One more request at a group with long prompts
// delays its answers by several milliseconds, so that the round trip costs less than one request; with short prompts it costs
// up to three.
func (p *Picker) remoteCost(w *Requirements, others *gossip.Totals, groups int, now time.Time) float64 {
	demand := others.Demands[w.Model].Plus(p.demandOf(w.Model, now))
	running := float64(demand.Running) / float64(max(1, groups))
	added := w.Engine.MarginalDelay(demand.Mix.Part(groups), running)
	if added <= 0 {
		return defaultRemoteCost
	}
	return min(max(minRemoteCost, float64(remoteTimeCost)/float64(added)), defaultRemoteCost)
}
