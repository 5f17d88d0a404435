// Package formation decides which endpoints form which replica group. It does no I/O and reads no clock.
//
// Safety does not rest on there being one leader. Every group has a name and an epoch of its own; epochs carry
// the leader's tenure and only grow, so an endpoint that has taken a later join refuses an earlier one. A group
// is opened only after every member was seen ready in it, and its members join others only once its head has
// left, is broken or is dead.
package formation

import (
	"fmt"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// tenureStep is how many groups one tenure can name.
	tenureStep = 1 << 20
	// forgetAfter is how long ended groups are remembered.
	forgetAfter = 2 * time.Minute
	// tellLostFor is how long the other nodes are told of a group that has lost a member.
	tellLostFor = 3 * time.Second
)

// Planner plans the groups of one service during one tenure of the leader.
type Planner struct {
	tenure  int64
	counter int64
	started time.Time

	plans     map[string]*plan
	retiring  map[string]*retirement
	bonds     bonds                  // what the plans and retirements bind
	reached   reached                // by conversions
	keeping   capability             // counted once a step, when it is first asked for; nil before
	ended     map[string]time.Time   // groups whose members are free
	lostAt    map[string]time.Time   // groups found to have lost a member
	strangers map[string]time.Time   // first sight of groups of earlier tenures
	complete  map[string]bool        // groups seen with all members ready
	stagings  map[string]staging     // by endpoint ID
	surveyed  map[string]bool        // endpoints that have told whether an earlier leader's load is under way
	loads     []time.Time            // begun during this tenure
	converted time.Time              // last time a group was ended for another model
	cleared   map[string]time.Time   // last order to a free endpoint to leave, by ID
	reserved  map[string]reservation // by domain
	demand    map[string]float64     // requests by model, a running mean
	readers   map[string]float64     // replica groups that can read a model's prompts in time, at the least

	listed   int       // endpoints of the service at the last step
	listedAt time.Time // when that number last changed
	told     time.Time // last summary
	orders   []Order
	asked    map[string]bool
	// Note is called with each decision; pairs are names and values.
	Note func(event, group string, pairs ...any)
}

// NewPlanner returns a Planner for a tenure, whose number must be higher than that of any leader before.
func NewPlanner(tenure int64, now time.Time) *Planner {
	return &Planner{
		tenure: tenure, started: now, plans: make(map[string]*plan), retiring: make(map[string]*retirement), bonds: newBonds(),
		ended: make(map[string]time.Time), lostAt: make(map[string]time.Time), strangers: make(map[string]time.Time), complete: make(map[string]bool),
		stagings: make(map[string]staging), surveyed: make(map[string]bool), asked: make(map[string]bool), demand: make(map[string]float64), readers: make(map[string]float64), reserved: make(map[string]reservation), cleared: make(map[string]time.Time),
	}
}

func (p *Planner) note(event, group string, pairs ...any) {
	if p.Note != nil {
		p.Note(event, group, pairs...)
	}
}

func (p *Planner) order(o Order) {
	o.Tenure = p.tenure
	p.orders = append(p.orders, o)
}

func (p *Planner) ask(ids ...string) {
	for _, id := range ids {
		p.asked[id] = true
	}
}

// Step returns the orders that are due and the endpoints to be asked directly. Nothing is decided on a view from
// before the tenure: what the leader before ordered last would not show in it.
func (p *Planner) Step(v *View) (orders []Order, ask []string) {
	p.orders, p.keeping = nil, nil
	clear(p.asked)
	if v.AsOf.Before(p.started) {
		return nil, nil
	}
	p.measure(v)
	p.followPlans(v)
	p.reviewGroups(v)
	p.followRetirements(v)
	p.form(v)
	p.stage(v)
	p.forget(v)
	p.summarise(v)
	for id := range p.asked {
		ask = append(ask, id)
	}
	return p.orders, ask
}

// Retiring returns the groups that are to get no new requests.
func (p *Planner) Retiring() []string {
	out := make([]string, 0, len(p.retiring))
	for name := range p.retiring {
		out = append(out, name)
	}
	return out
}

// Lost returns the groups that have lately been found to have lost a member: nothing more comes from them.
func (p *Planner) Lost() []string {
	out := make([]string, 0, len(p.lostAt))
	for name := range p.lostAt {
		out = append(out, name)
	}
	return out
}

// Result takes in what became of an order.
func (p *Planner) Result(o Order, outcome Outcome, now time.Time) {
	switch o.Kind {
	case Join:
		pl := p.plans[o.Group]
		switch {
		case pl == nil:
		case outcome.Declined():
			pl.refused = true
		case outcome == Taken:
			pl.joinTaken(o.Endpoint.ID, now)
		}
	case Leave:
		if _, ok := p.retiring[o.Group]; ok && (outcome == Taken || outcome == Refused) {
			p.release(o.Group)
			p.ended[o.Group] = now
			p.note("group ended", o.Group, "reason", "leave "+outcome.String())
		}
	case Stage:
		switch {
		case outcome == Refused: // it is loading something else
			p.stagings[o.Endpoint.ID] = staging{since: now, until: p.stagings[o.Endpoint.ID].until}
		case outcome.Declined():
			delete(p.stagings, o.Endpoint.ID)
		}
	case Open:
		if pl := p.plans[o.Group]; pl != nil && outcome == Taken {
			pl.allow(now.Add(openWithin))
		}
	}
}

// free reports whether the endpoint may be ordered into a new group.
func (p *Planner) free(v *View, e *endpoint.Endpoint) bool {
	if e.Draining || p.bonds.holds(e.ID) || v.down(e.ID) {
		return false
	}
	if e.Membership == nil {
		return true
	}
	_, ended := p.ended[e.Membership.Group]
	return ended
}

// plan orders the members into a new group.
func (p *Planner) plan(v *View, model string, members []*endpoint.Endpoint, within time.Duration) {
	p.counter++
	pl := &plan{
		epoch: p.tenure*tenureStep + p.counter, model: model, members: members, within: within, until: v.Now.Add(within), joined: make(map[string]bool),
	}
	pl.name = fmt.Sprintf("r%d-%d", p.tenure, p.counter)
	p.plans[pl.name] = pl
	p.bonds.plan(pl)
	p.keeping.forget(v, pl)
	p.note("group planned", pl.name, "model", model, "members", pl.ids(), "epoch", pl.epoch, "within_ms", within.Milliseconds())
	for _, m := range members {
		p.order(Order{Kind: Join, Endpoint: m, Group: pl.name, Epoch: pl.epoch, Model: model, Members: pl.ids()})
	}
}

func (p *Planner) forget(v *View) {
	for name, at := range p.ended {
		if v.Now.Sub(at) > forgetAfter && v.Snapshot.Groups[name] == nil {
			delete(p.ended, name)
		}
	}
	for name, at := range p.lostAt {
		if v.Now.Sub(at) > tellLostFor {
			delete(p.lostAt, name)
		}
	}
	for id := range p.cleared {
		if v.Snapshot.Endpoints[id] == nil {
			delete(p.cleared, id)
		}
	}
	for name := range p.strangers {
		if v.Snapshot.Groups[name] == nil {
			delete(p.strangers, name)
			delete(p.complete, name)
		}
	}
}
