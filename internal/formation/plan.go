package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// joinGrace is the time that a join may take in addition to its load.
	joinGrace = 1200 * time.Millisecond
	// openRetryInterval is the interval at which the order to open is repeated.
	openRetryInterval = 700 * time.Millisecond
	// openTimeout is how long a head that has accepted the order to open may take until it is listed as open: 300 ms by
	// the published figures, plus joinGrace for the listing to arrive.
	openTimeout = 300*time.Millisecond + joinGrace
	// joinAnswerTimeout is how long after its join a member that answers neither the join nor a probe keeps the plan alive. A
	// live endpoint answers within tens of milliseconds, or after some 200 ms if a packet was lost.
	joinAnswerTimeout = 500 * time.Millisecond
)

// plan is a group whose members this tenure has ordered to join.
type plan struct {
	name          string
	epoch         int64
	model         string
	members       []*endpoint.Endpoint // the head first
	plannedAt     time.Time
	readyTimeout  time.Duration   // time to become ready after the last member has accepted its join
	deadline      time.Time       // the plan is abandoned after this time
	joined        map[string]bool // members that have accepted their join
	openOrderedAt time.Time       // time of the last order to open; zero if none was sent
	refused       bool            // a member has declined its join
	ready         bool            // all members have been seen ready
}

// recordJoin records that a member has accepted its join. The ready timeout starts at the last one: with a slow leader
// or member, a plan abandoned just before it opened kept its members from serving for three more seconds and slowed the
// leader further.
func (p *plan) recordJoin(id string, now time.Time) {
	p.joined[id] = true
	if len(p.joined) == len(p.members) {
		p.extendDeadline(now.Add(p.readyTimeout))
	}
}

// extendDeadline moves the deadline to the given time if that is later.
func (p *plan) extendDeadline(until time.Time) {
	if until.After(p.deadline) {
		p.deadline = until
	}
}

func (p *plan) memberIDs() []string {
	out := make([]string, len(p.members))
	for i, m := range p.members {
		out[i] = m.ID
	}
	return out
}

// advancePlans opens groups that are ready and abandons plans that cannot become ready.
func (p *Planner) advancePlans(v *View) {
	for name, pl := range p.plans {
		g := v.Snapshot.Groups[name]
		pl.ready = pl.ready || p.allReady(pl, g)
		if pl.ready && pl.isOpen(g) {
			p.dropPlan(pl) // the group is running now
			continue
		}
		if reason, member := p.failureReason(v, pl, g); reason != "" {
			p.abandonPlan(v, pl, reason, member)
			continue
		}
		if pl.ready && v.Now.Sub(pl.openOrderedAt) >= openRetryInterval {
			pl.openOrderedAt = v.Now
			p.addOrder(Order{Kind: Open, Endpoint: pl.members[0], Group: name, Epoch: pl.epoch})
		}
	}
}

// allReady reports whether every member of the plan is listed as ready in its group, and has told itself that it is in it. The list may
// name other endpoints as members, by entries that other programs have written.
func (p *Planner) allReady(pl *plan, g *endpoint.Group) bool {
	if g == nil || g.Epoch != pl.epoch {
		return false
	}
	for _, planned := range pl.members {
		m := g.Members[planned.ID]
		if m == nil || m.Membership.State == endpoint.Joining || !p.confirmationOf(m.ID).names(pl.name, pl.epoch) {
			return false
		}
	}
	return true
}

// isOpen reports whether the head of the plan is listed as open.
func (p *plan) isOpen(g *endpoint.Group) bool {
	if g == nil || g.Epoch != p.epoch {
		return false
	}
	head := g.Members[p.members[0].ID]
	return head != nil && head.Membership.State == endpoint.Open
}

// dropPlan removes a plan from the planner's records.
func (p *Planner) dropPlan(pl *plan) {
	delete(p.plans, pl.name)
	p.commitments.removePlan(pl)
}

// failureReason returns why the plan cannot become a running group, or "", and the ID of the member that is the reason, if one is.
func (p *Planner) failureReason(v *View, pl *plan, g *endpoint.Group) (reason PlanFailure, member string) {
	if pl.refused {
		return PlanRefused, ""
	}
	for _, m := range pl.members {
		e, listed := v.Snapshot.Endpoints[m.ID]
		unanswered := v.unansweredFor(m.ID)
		if unanswered > 0 {
			p.requestProbe(m.ID)
		}
		switch {
		case !listed:
			return PlanMemberGone, m.ID
		case e.Draining:
			return PlanMemberLeaving, m.ID
		case v.isDown(m.ID), !pl.joined[m.ID] && unanswered >= joinAnswerTimeout:
			return PlanMemberSilent, m.ID
		}
	}
	if v.Now.After(pl.deadline) {
		p.requestProbe(pl.memberIDs()...) // the next plan leaves out members that do not answer
		if g != nil && g.Head != nil && g.Head.Membership.State == endpoint.Broken {
			return PlanHeadBroken, ""
		}
		return PlanNotReady, ""
	}
	return "", ""
}

// abandonPlan frees the members of a plan. If the order to open may have been sent, the head has to leave first.
func (p *Planner) abandonPlan(v *View, pl *plan, reason PlanFailure, member string) {
	p.dropPlan(pl)
	held := v.Now.Sub(pl.plannedAt)
	p.note("plan given up", pl.name, "reason", string(reason), "model", pl.model, "member", member, "joined", len(pl.joined), "endpoints", len(pl.members),
		"held_ms", held.Milliseconds(), "opened", !pl.openOrderedAt.IsZero())
	if p.OnPlanFailed != nil {
		p.OnPlanFailed(reason, len(pl.members), held)
	}
	if pl.openOrderedAt.IsZero() {
		p.ended[pl.name] = groupEnd{at: v.Now, neverOpened: true}
		return
	}
	p.retire(v, pl.name, pl.epoch, pl.members[0], string(reason), 0)
}
