package picker

import (
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	// slowFrom is how many times the usual pause between events makes a replica group slow.
	slowFrom = 1.8
	// slowCost is what being a time slower than usual costs, in requests.
	slowCost = 8.0
	// jitter spreads requests over equals.
	jitter = 0.5
)

// How much a group is to be avoided: one with a member that is about to leave, more one that refuses requests, and most one that
// stands still.
const (
	avoidLeaving = iota + 1
	avoidRefusing
	avoidSilent
)

// candidate is an endpoint that could take a request.
type candidate struct {
	endpoint *endpoint.Endpoint
	group    string
	load     int // requests of all nodes
	cost     float64
	limit    int           // requests beyond which it gets no more; 0: none
	avoid    int           // 0, or more the less it is to be chosen as long as there are others
	pause    time.Duration // that is left of what it has asked for

	coldPerSecond float64 // requests it bears in a second; 0 if it is not cold
}

// full reports whether the candidate gets no more requests; with queue set, those that wait in its own queue count as well.
func (c *candidate) full(w *Want, queue bool) bool {
	switch {
	case c.pause > 0:
		return true
	case c.limit == 0:
		return false
	case queue && c.limit == w.Slots:
		return c.load >= c.limit+overflow
	default:
		return c.load >= c.limit
	}
}

// candidates returns everything that may take the request, with its cost.
func (p *Picker) candidates(w *Want, others *gossip.Totals, now time.Time) []candidate {
	snapshot := p.options.Directory.Read()
	if w.Model == "" {
		return p.alone(w, snapshot, others, now)
	}
	return p.groups(w, snapshot, others, now)
}

func (p *Picker) groups(w *Want, snapshot *endpoint.Snapshot, others *gossip.Totals, now time.Time) []candidate {
	retiring := p.options.Retiring(now)
	var out []candidate
	usual := p.usualGap(w, snapshot)
	for _, g := range snapshot.Groups {
		if g.Service != w.Service || g.Model != w.Model || w.excludes(g.Name) || retiring[g.Name] || !p.usable(snapshot, g, w.Size) || snapshot.Evacuated[g.Head.Zone] {
			continue
		}
		h := p.health[g.Name]
		c := candidate{endpoint: g.Head, group: g.Name, load: totalLoad(h, others, g.Head.ID), limit: w.Slots, pause: p.pauses.left(g.Head.ID, now)}
		if w.ColdPerSecond > 0 && snapshot.Cold(g.Head, w.ColdFor, now) {
			c.limit, c.coldPerSecond = min(c.limit, w.coldLimit()), w.ColdPerSecond
		}
		c.cost = float64(c.load) + p.draw()*jitter
		switch {
		case doubted(g.Name, h, others, now) || h != nil && h.suspected(now):
			c.avoid = avoidSilent
		case h != nil && h.refusing(now):
			c.avoid = avoidRefusing
		case g.Draining():
			c.avoid = avoidLeaving
		}
		if h != nil && usual > 0 && float64(h.gap) > slowFrom*float64(usual) {
			c.cost += slowCost * (float64(h.gap)/float64(usual) - 1)
		}
		out = append(out, c)
	}
	way := p.wayCost(w, others, len(out), now)
	for i := range out {
		if p.elsewhere(out[i].endpoint) {
			out[i].cost += way
		}
	}
	return out
}

// elsewhere reports whether the endpoint is in another data centre.
func (p *Picker) elsewhere(e *endpoint.Endpoint) bool { return e.Zone != p.options.Zone }

// usable reports whether the head takes requests and every member has been ready at one time in this group. Where members are
// not listed the leader's word counts for that: no group is opened otherwise.
func (p *Picker) usable(s *endpoint.Snapshot, g *endpoint.Group, size int) bool {
	if g.Head == nil || g.Head.Draining || g.Head.Membership.State != endpoint.Open {
		return false
	}
	if s.RoutingOnly {
		return true
	}
	if g.Ready(size) {
		p.complete[g.Name] = true
	}
	return p.complete[g.Name]
}

// usualGap is the middle of the model's mean pauses between events, as seen by this node.
func (p *Picker) usualGap(w *Want, snapshot *endpoint.Snapshot) time.Duration {
	var gaps []time.Duration
	for _, g := range snapshot.Groups {
		if h := p.health[g.Name]; g.Model == w.Model && h != nil && h.gap > 0 {
			gaps = append(gaps, h.gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// draw returns a number from 0 to 1 by a step of a small linear generator; it only breaks ties.
func (p *Picker) draw() float64 {
	p.random = p.random*6364136223846793005 + 1442695040888963407
	return float64(p.random>>40) / (1 << 24)
}

// doubted reports whether another node has lately seen the group stand still, and this one no sign of life since.
func doubted(group string, h *health, others *gossip.Totals, now time.Time) bool {
	if h != nil && now.Sub(h.progress) < trustOwn {
		return false
	}
	_, doubts := others.Suspects[group]
	return doubts
}

func totalLoad(h *health, others *gossip.Totals, id string) int {
	if h == nil {
		return others.Loads.At(id)
	}
	return h.running + others.Loads.At(id)
}
