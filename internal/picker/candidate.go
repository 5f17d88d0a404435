package picker

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// slowGapFactor is the multiple of the median gap between events beyond which a replica group counts as slow.
	slowGapFactor = 1.8
	// slowGroupCost is added to a slow group's cost for each multiple of the median gap that it is above the median, in requests.
	slowGroupCost = 8.0
	// jitter is the largest random cost, in requests. It spreads requests over candidates of equal cost.
	jitter = 0.5
)

// Levels of avoidance, in rising order: a group with a draining member, one that refuses requests, and one that has stalled.
const (
	avoidDraining = iota + 1
	avoidRefusing
	avoidStalled
)

// candidate is an endpoint that could take a request.
type candidate struct {
	endpoint       *endpoint.Endpoint
	group          string
	load           int // running requests from all nodes
	cost           float64
	limit          int           // most concurrent requests; 0 if unlimited
	avoidance      int           // level of avoidance; 0 for none. Candidates above the lowest level present are not chosen
	recovering     bool          // its group has only just gone on after a stall
	remainingPause time.Duration // remaining part of the pause that the endpoint requested

	coldPerSecond float64 // requests per second that the endpoint can take while cold; 0 if it is not cold
}

// full reports whether the candidate takes no more requests. With useQueue set, a replica group that is not cold still takes up to
// maxGroupQueue requests beyond its limit into its own queue.
func (c *candidate) full(w *Requirements, useQueue bool) bool {
	switch {
	case c.remainingPause > 0:
		return true
	case c.limit == 0:
		return false
	case useQueue && c.limit == w.Slots:
		return c.load >= c.limit+maxGroupQueue
	default:
		return c.load >= c.limit
	}
}

// candidates returns the endpoints that may take the request, with their costs.
func (p *Picker) candidates(w *Requirements, others *gossip.Totals, now time.Time) []candidate {
	snapshot := p.options.Directory.Read()
	if w.Model == "" {
		return p.standaloneCandidates(w, snapshot, others, now)
	}
	return p.groupCandidates(w, snapshot, others, now)
}

func (p *Picker) groupCandidates(w *Requirements, snapshot *endpoint.Snapshot, others *gossip.Totals, now time.Time) []candidate {
	retiring := p.options.Retiring(now)
	var out []candidate
	median := p.medianGap(w, snapshot)
	for _, g := range snapshot.Groups {
		if g.Service != w.Service || g.Model != w.Model || w.excludes(g.Name) || retiring[g.Name] || !p.usable(snapshot, g, w.Size) || snapshot.Evacuated[g.Head.DataCentre] {
			continue
		}
		h := p.health[g.Name]
		c := candidate{endpoint: g.Head, group: g.Name, load: totalLoad(h, others, g.Head.ID), limit: w.Slots, remainingPause: p.pauses.remaining(g.Head.ID, now)}
		if w.ColdPerSecond > 0 && snapshot.Cold(g.Head, w.ColdFor, now) {
			c.limit, c.coldPerSecond = min(c.limit, w.coldLimit()), w.ColdPerSecond
		}
		c.cost = float64(c.load) + p.randomFloat()*jitter
		c.recovering = h != nil && h.recovering(now)
		switch {
		case suspectedByOthers(g.Name, h, others, now) || h != nil && h.suspected(now):
			c.avoidance = avoidStalled
		case h != nil && h.refusing(now):
			c.avoidance = avoidRefusing
		case g.Draining():
			c.avoidance = avoidDraining
		}
		if h != nil && median > 0 && float64(h.meanGap) > slowGapFactor*float64(median) {
			c.cost += slowGroupCost * (float64(h.meanGap)/float64(median) - 1)
		}
		out = append(out, c)
	}
	penalty := p.remoteCost(w, others, len(out), now)
	for i := range out {
		if p.isRemote(out[i].endpoint) {
			out[i].cost += penalty
		}
	}
	return out
}

// isRemote reports whether the endpoint is in another data centre.
func (p *Picker) isRemote(e *endpoint.Endpoint) bool { return e.DataCentre != p.options.DataCentre }

// usable reports whether the head takes requests and all members of the group have been ready at the same time. Where the
// directory lists only heads, an open group is enough: the leader opens a group only once all its members are ready.
func (p *Picker) usable(s *endpoint.Snapshot, g *endpoint.Group, size int) bool {
	if g.Head == nil || g.Head.Draining || g.Head.Membership.State != endpoint.Open {
		return false
	}
	if s.RoutingOnly {
		return true
	}
	if g.Ready(size) {
		p.wasComplete[g.Name] = true
	}
	return p.wasComplete[g.Name]
}

// medianGap returns the median, over the model's groups, of the mean gap between events as measured by this node; zero if none
// has been measured.
func (p *Picker) medianGap(w *Requirements, snapshot *endpoint.Snapshot) time.Duration {
	var gaps []time.Duration
	for _, g := range snapshot.Groups {
		if h := p.health[g.Name]; g.Model == w.Model && h != nil && h.meanGap > 0 {
			gaps = append(gaps, h.meanGap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// randomFloat returns a pseudo-random number in [0, 1) from a linear congruential generator. It breaks ties and draws samples.
func (p *Picker) randomFloat() float64 {
	p.randomState = p.randomState*6364136223846793005 + 1442695040888963407
	return float64(p.randomState>>40) / (1 << 24)
}

// suspectedByOthers reports whether another node has recently reported the group as stalled and this node has had no event from
// it within trustOwnProgressFor.
func suspectedByOthers(group string, h *health, others *gossip.Totals, now time.Time) bool {
	if h != nil && now.Sub(h.lastProgress) < trustOwnProgressFor {
		return false
	}
	_, suspected := others.Suspects[group]
	return suspected
}

func totalLoad(h *health, others *gossip.Totals, id string) int {
	if h == nil {
		return others.Loads.At(id)
	}
	return h.running + others.Loads.At(id)
}
