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
)

// plan is a group that this tenure has ordered its members into.
type plan struct {
	name     string
	epoch    int64
	model    string
	members  []*endpoint.Endpoint // the head first
	until    time.Time            // it should be ready by then
	openedAt time.Time            // the order to open was last given; zero if never
	refused  bool                 // a member will not join
	ready    bool                 // all members were seen ready
}

func (p *plan) has(id string) bool {
	for _, m := range p.members {
		if m.ID == id {
			return true
		}
	}
	return false
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
			delete(p.plans, name) // from here on it is a running group
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
	delete(p.plans, pl.name)
	p.note("plan given up", pl.name, "reason", reason, "opened", !pl.openedAt.IsZero())
	if pl.openedAt.IsZero() {
		p.ended[pl.name] = v.Now
		return
	}
	p.retire(v, pl.name, pl.epoch, pl.members[0], reason, 0)
}
