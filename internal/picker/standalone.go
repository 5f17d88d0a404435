package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// failureCost is the cost, in requests, of a standalone endpoint that fails every request; it is scaled by the failure rate.
	failureCost = 20.0
	// latencyUnit is the mean latency of a standalone endpoint that costs as much as one request.
	latencyUnit = 40 * time.Millisecond
	// suspectCost, in requests, keeps an endpoint that could not be reached or refuses from being chosen while there are others.
	suspectCost = 1000.0
)

// standaloneCandidates returns the standalone endpoints that may take the request.
func (p *Picker) standaloneCandidates(w *Requirements, snapshot *endpoint.Snapshot, others *gossip.Totals, now time.Time) []candidate {
	var out []candidate
	for _, e := range snapshot.Services[w.Service] {
		if e.Draining || w.excludes(e.ID) || snapshot.Evacuated[e.DataCentre] {
			continue
		}
		h := p.health[e.ID]
		c := candidate{endpoint: e, load: totalLoad(h, others, e.ID), remainingPause: p.pauses.remaining(e.ID, now)}
		c.cost = float64(c.load) + p.randomFloat()*jitter
		if w.ColdPerSecond > 0 && snapshot.Cold(e, w.ColdFor, now) {
			c.limit, c.coldPerSecond = w.coldLimit(), w.ColdPerSecond
		}
		if p.isRemote(e) {
			c.cost += defaultRemoteCost
		}
		if h != nil {
			c.cost += failureCost*h.failureRate + float64(h.meanLatency)/float64(latencyUnit)
		}
		if h != nil && (h.suspected(now) || h.refusing(now)) {
			c.cost += suspectCost
		}
		out = append(out, c)
	}
	return out
}
