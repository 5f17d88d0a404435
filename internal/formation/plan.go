package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// joinGrace is what a join may take beyond its load.
	joinGrace = 1200 * time.Millisecond
	// openAgain is after how long the order to open is given again.
	openAgain = 700 * time.Millisecond
	// openWithin is how long a head that has taken the order to open may take until it is listed as open: 300 ms by the
	// published figures, and as much as joinGrace for the listing to come.
	openWithin = 300*time.Millisecond + joinGrace
)

// plan is a group that this tenure has ordered its members into.
type plan struct {
	name     string
	epoch    int64
	model    string
	members  []*endpoint.Endpoint // the head first
	within   time.Duration        // it should be ready so long after the last member has taken the order to join
	until    time.Time            // it is given up then
	joined   map[string]bool      // members that have taken that order
	openedAt time.Time            // the order to open was last given; zero if never
	refused  bool                 // a member will not join
	ready    bool                 // all members were seen ready
}

// joinTaken notes that a member has taken the order to join. The time to be ready begins when the last one has: where the
// leader or a member is slow, a plan that was given up as it was about to open kept its members from serving for three more
// seconds, and made the leader slower still.
func (p *plan) joinTaken(id string, now time.Time) {
	p.joined[id] = true
	if len(p.joined) == len(p.members) {
		p.allow(now.Add(p.within))
	}
}

// allow puts off the time at which the plan is given up.
func (p *plan) allow(until time.Time) {
	if until.After(p.until) {
		p.until = until
	}
}

func (p *plan) ids() []string {
	out := make([]string, len(p.members))
	for i, m := range p.members {
		out[i] = m.ID
	}
	return out
}

// followPlans opens what is ready and gives up what cannot become ready.
func (p *Planner) followPlans(v *View) {
	for name, pl := range p.plans {
		g := v.Snapshot.Groups[name]
		if g != nil && g.Epoch == pl.epoch && g.Ready(len(pl.members)) {
			pl.ready = true
		}
		if pl.ready && g != nil && g.Head != nil && g.Head.Membership.State == endpoint.Open {
			p.drop(pl) // from here on it is a running group
			continue
		}
		if reason := p.hopeless(v, pl, g); reason != "" {
			p.giveUp(v, pl, reason)
			continue
		}
		if pl.ready && v.Now.Sub(pl.openedAt) >= openAgain {
			pl.openedAt = v.Now
			p.order(Order{Kind: Open, Endpoint: pl.members[0], Group: name, Epoch: pl.epoch})
		}
	}
}

// drop forgets a plan.
func (p *Planner) drop(pl *plan) {
	delete(p.plans, pl.name)
	p.bonds.unplan(pl)
}

// hopeless returns why the plan will not become a running group, or nothing.
func (p *Planner) hopeless(v *View, pl *plan, g *endpoint.Group) string {
	if pl.refused {
		return "a member refused"
	}
	for _, m := range pl.members {
		e, listed := v.Snapshot.Endpoints[m.ID]
		switch {
		case !listed:
			return "a member is not listed any more"
		case e.Draining:
			return "a member is leaving"
		case v.down(m.ID):
			return "a member does not answer"
		}
	}
	if v.Now.After(pl.until) {
		p.ask(pl.ids()...) // so that who does not answer is left out of the next plan
		if g != nil && g.Head != nil && g.Head.Membership.State == endpoint.Broken {
			return "the head is broken"
		}
		return "it took too long"
	}
	return ""
}

// giveUp frees the members of a plan. Once the order to open may have been given the head has to leave first.
func (p *Planner) giveUp(v *View, pl *plan, reason string) {
	p.drop(pl)
	p.note("plan given up", pl.name, "reason", reason, "opened", !pl.openedAt.IsZero())
	if pl.openedAt.IsZero() {
		p.ended[pl.name] = v.Now
		return
	}
	p.retire(v, pl.name, pl.epoch, pl.members[0], reason, 0)
}
