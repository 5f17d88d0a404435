// Package formation decides which endpoints form which replica group. The Planner does no I/O and reads no clock; the
// Controller carries out its decisions.
//
// Safety does not depend on there being a single leader. Every group has its own name and epoch. Epochs contain the
// leader's tenure and only grow, so an endpoint that has accepted a later join refuses an earlier one. A group is
// opened only after every member has been seen ready in it. An endpoint joins a group only by its own word, see JoinProof,
// and refuses the join if it has begun another order since.
package formation

import (
	"fmt"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// maxGroupsPerTenure is the number of group epochs reserved for one tenure.
	maxGroupsPerTenure = 1 << 20
	// endedGroupRetention is the minimum time for which the record of an ended group is kept.
	endedGroupRetention = 2 * time.Minute
	// lostGroupRetention is how long a group that has lost a member is reported to the other nodes.
	lostGroupRetention = 3 * time.Second
)

// Planner plans the replica groups of one service during one tenure of the leader.
type Planner struct {
	tenure  int64
	numbers *groupNumbers
	started time.Time
	// isSuccessor means that groups of an earlier leader have been seen.
	isSuccessor bool

	plans             map[string]*plan
	retiring          map[string]*retirement
	commitments       commitments              // endpoints involved in plans and retirements
	conversionDomains domainSelection          // domains whose members should have a second model
	copies            modelCopies              // computed on first use in each step; nil before
	ended             map[string]groupEnd      // by group
	confirmed         map[string]*confirmation // by endpoint ID
	allSilentAt       time.Time                // when an endpoint was last down while no other one answered either
	lostAt            map[string]time.Time     // when a group was last found to have lost a member, by group
	firstSeen         map[string]time.Time     // when a group that no plan covers was first seen, by group
	headlessSince     map[string]time.Time     // when a group was first seen without its head, by group
	left              map[string]string        // group that an endpoint has left by its own answer, by endpoint ID
	seenComplete      map[string]bool          // groups that were seen with all members ready
	stagings          map[string]staging       // by endpoint ID
	surveyed          map[string]bool          // endpoints that have answered whether they carry out a load for an earlier leader
	loadStarts        []time.Time              // loads ordered during this tenure
	lastConversion    time.Time                // when groups were last ended for another model
	leaveOrdered      map[string]time.Time     // last order to leave sent to a free endpoint, by endpoint ID
	reserved          map[string]reservation   // by domain
	demand            *demand
	// allows reports whether a conversion may be carried out. It is a field so that a test can compare other rules.
	allows func(*conversion) bool

	endpointCount        int                 // endpoints of the service at the last step
	endpointCountChanged time.Time           // when endpointCount last changed
	lastSummary          time.Time           // when the last summary was logged
	freeCounts           map[FreeReason]int  // free endpoints at the last summary
	shortages            []Shortage          // of each model at the last summary
	loadCounts           map[LoadPurpose]int // loads in progress at the last summary
	conversionObstacle   ConversionObstacle  // why the last step ended no groups for another model
	// OnPlanFailed is called with each plan that is given up, the number of its endpoints and the time for which it held them. It
	// may be nil.
	OnPlanFailed func(reason PlanFailure, endpoints int, held time.Duration)
	orders       []Order
	toProbe      map[string]bool
	// Note is called with each decision; pairs are alternating keys and values.
	Note func(event, group string, pairs ...any)
}

// groupNumbers numbers the groups of a tenure, of all services, so that no two have the same name.
type groupNumbers struct{ last int64 }

func (n *groupNumbers) next() int64 {
	n.last++
	return n.last
}

// NewPlanner returns a Planner for a tenure, whose number must be higher than that of any earlier leader.
func NewPlanner(tenure int64, now time.Time) *Planner {
	return &Planner{
		tenure:        tenure,
		numbers:       &groupNumbers{},
		started:       now,
		plans:         make(map[string]*plan),
		retiring:      make(map[string]*retirement),
		commitments:   newCommitments(),
		ended:         make(map[string]groupEnd),
		confirmed:     make(map[string]*confirmation),
		lostAt:        make(map[string]time.Time),
		firstSeen:     make(map[string]time.Time),
		headlessSince: make(map[string]time.Time),
		left:          make(map[string]string),
		seenComplete:  make(map[string]bool),
		stagings:      make(map[string]staging),
		surveyed:      make(map[string]bool),
		toProbe:       make(map[string]bool),
		demand:        newDemand(),
		reserved:      make(map[string]reservation),
		leaveOrdered:  make(map[string]time.Time),
		allows:        (*conversion).allowed,
	}
}

func (p *Planner) note(event, group string, pairs ...any) {
	if p.Note != nil {
		p.Note(event, group, pairs...)
	}
}

func (p *Planner) addOrder(o Order) {
	o.Tenure = p.tenure
	c := p.confirmationOf(o.Endpoint.ID)
	if o.Kind == Leave && c.isIn(o.Group, o.Epoch) {
		sequence := c.sequence
		o.Sequence = &sequence
	}
	c.inFlight++
	p.orders = append(p.orders, o)
}

func (p *Planner) requestProbe(ids ...string) {
	for _, id := range ids {
		p.toProbe[id] = true
	}
}

// Step returns the orders to send and the endpoints to probe. It decides nothing on a view from before the tenure,
// which may not show the last orders of the previous leader.
func (p *Planner) Step(v *View) (orders []Order, probe []string) {
	p.orders, p.copies = nil, nil
	clear(p.toProbe)
	if v.CurrentAt.Before(p.started) {
		return nil, nil
	}
	p.takeReports(v)
	p.demand.update(v.Service.Engine, v.Demand, v.Mixes, v.Now)
	p.advancePlans(v)
	p.reviewGroups(v)
	p.advanceRetirements(v)
	p.form(v)
	p.stageModels(v)
	p.expireRecords(v)
	p.summarise(v)
	for id := range p.toProbe {
		probe = append(probe, id)
	}
	return p.orders, probe
}

// Retiring returns the groups that must get no new requests.
func (p *Planner) Retiring() []string {
	out := make([]string, 0, len(p.retiring))
	for name := range p.retiring {
		out = append(out, name)
	}
	return out
}

// Lost returns the groups that were recently found to have lost a member. They produce no more output.
func (p *Planner) Lost() []string {
	out := make([]string, 0, len(p.lostAt))
	for name := range p.lostAt {
		out = append(out, name)
	}
	return out
}

// RecordOutcome updates the plans, retirements and loads with the outcome of an order.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, now time.Time) {
	p.recordConfirmation(o, outcome, now)
	switch o.Kind {
	case Join:
		pl := p.plans[o.Group]
		switch {
		case pl == nil:
		case outcome.Declined():
			pl.refused = true
		case outcome.Taken():
			pl.recordJoin(o.Endpoint.ID, now)
		}
	case Leave:
		if outcome.Taken() {
			p.recordLeave(o, now)
		}
	case Stage:
		switch {
		case outcome == Refused: // the endpoint is loading something else
			p.stagings[o.Endpoint.ID] = staging{since: now, until: p.stagings[o.Endpoint.ID].until, purpose: LoadFound}
		case outcome.Declined():
			delete(p.stagings, o.Endpoint.ID)
		}
	case Open:
		if pl := p.plans[o.Group]; pl != nil && outcome.Taken() {
			pl.extendDeadline(now.Add(openTimeout))
		}
	}
}

// isFree reports whether the endpoint may be ordered into a new group.
func (p *Planner) isFree(v *View, e *endpoint.Endpoint) bool {
	if e.Draining || p.commitments.contains(e.ID) || v.isDown(e.ID) {
		return false
	}
	return p.hasNoGroup(e)
}

// hasNoGroup reports whether the endpoint is in no group, or in one that has ended or that it has left.
func (p *Planner) hasNoGroup(e *endpoint.Endpoint) bool {
	if e.Membership == nil || p.left[e.ID] == e.Membership.Group {
		return true
	}
	_, ended := p.ended[e.Membership.Group]
	return ended
}

// planGroup orders the members to join a new group.
func (p *Planner) planGroup(v *View, model string, members []*endpoint.Endpoint, readyTimeout time.Duration) {
	number := p.numbers.next()
	pl := &plan{
		epoch: p.tenure*maxGroupsPerTenure + number, model: model, members: members, plannedAt: v.Now, readyTimeout: readyTimeout, deadline: v.Now.Add(readyTimeout), joined: make(map[string]bool),
	}
	pl.name = fmt.Sprintf("r%d-%d", p.tenure, number)
	p.plans[pl.name] = pl
	p.commitments.addPlan(pl)
	p.copies.removeEvicted(v, pl)
	p.note("group planned", pl.name, "model", model, "domain", members[0].Domain, "members", pl.memberIDs(), "epoch", pl.epoch, "within_ms", readyTimeout.Milliseconds())
	for _, m := range members {
		if proof, ok := p.joinProof(m); ok {
			p.addOrder(Order{Kind: Join, Endpoint: m, Group: pl.name, Epoch: pl.epoch, Model: model, Members: pl.memberIDs(), Sequence: &proof.sequence, Proof: proof})
		}
	}
}

func (p *Planner) expireRecords(v *View) {
	for name, end := range p.ended {
		if v.Now.Sub(end.at) > endedGroupRetention && v.Snapshot.Groups[name] == nil {
			delete(p.ended, name)
		}
	}
	for name, at := range p.lostAt {
		if v.Now.Sub(at) > lostGroupRetention {
			delete(p.lostAt, name)
		}
	}
	for id := range p.leaveOrdered {
		if v.Snapshot.Endpoints[id] == nil {
			delete(p.leaveOrdered, id)
		}
	}
	for id := range p.left {
		if v.Snapshot.Endpoints[id] == nil {
			delete(p.left, id)
		}
	}
	for id, c := range p.confirmed {
		if v.Snapshot.Endpoints[id] == nil && c.inFlight == 0 && v.Now.Sub(c.lastHeard()) > confirmationRetention {
			delete(p.confirmed, id)
		}
	}
	for name := range p.firstSeen {
		if v.Snapshot.Groups[name] == nil {
			delete(p.firstSeen, name)
			delete(p.seenComplete, name)
		}
	}
	for name := range p.headlessSince {
		if v.Snapshot.Groups[name] == nil {
			delete(p.headlessSince, name)
		}
	}
}
