package picker

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// failureCost is what failing always costs an endpoint that serves alone, in requests.
	failureCost = 20.0
	// latencyUnit turns the mean latency of an endpoint that serves alone into requests.
	latencyUnit = 40 * time.Millisecond
	// suspectCost keeps requests from one that could not be reached or refuses, as long as anything else is there.
	suspectCost = 1000.0
)

// alone returns the endpoints that serve alone and may take the request.
func (p *Picker) alone(w *Want, snapshot *endpoint.Snapshot, others *gossip.Totals, now time.Time) []candidate {
	var out []candidate
	for _, e := range snapshot.Services[w.Service] {
		if e.Draining || w.excludes(e.ID) || snapshot.Evacuated[e.Zone] {
			continue
		}
		h := p.health[e.ID]
		c := candidate{endpoint: e, load: totalLoad(h, others, e.ID), pause: p.pauses.left(e.ID, now)}
		c.cost = float64(c.load) + p.draw()*jitter
		if w.ColdPerSecond > 0 && snapshot.Cold(e, w.ColdFor, now) {
			c.limit, c.coldPerSecond = w.coldLimit(), w.ColdPerSecond
		}
		if p.elsewhere(e) {
			c.cost += zoneCost
		}
		if h != nil {
			c.cost += failureCost*h.failures + float64(h.latency)/float64(latencyUnit)
		}
		if h != nil && (h.suspected(now) || h.refusing(now)) {
			c.cost += suspectCost
		}
		out = append(out, c)
	}
	return out
}
