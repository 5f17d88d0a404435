package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// strangerGrace is how long a group that this tenure did not plan may stay incomplete.
	strangerGrace = 2500 * time.Millisecond
	// orphanHold is how long members are left alone whose head nobody knows: it may still serve them.
	orphanHold = 12 * time.Second
	// askAgain is how old an answer may be that speaks for an endpoint that is not listed.
	askAgain = time.Second
)

// reviewGroups looks after the groups that no plan is about: it opens what an earlier leader left ready, and
// retires what has lost a member.
func (p *Planner) reviewGroups(v *View) {
	for name, g := range v.Snapshot.Groups {
		if g.Service != v.Service.Name || p.plans[name] != nil || p.retiring[name] != nil {
			continue
		}
		if _, done := p.ended[name]; done {
			continue
		}
		p.reviewGroup(v, g)
	}
}

func (p *Planner) reviewGroup(v *View, g *endpoint.Group) {
	size := p.sizeOf(v, g)
	if g.Head == nil {
		p.reviewHeadless(v, g)
		return
	}
	if g.Head.Membership.State == endpoint.Broken {
		p.end(v, g.Name, "the head is broken")
		return
	}
	if lost, reason := p.lost(v, g); lost {
		p.retire(v, g.Name, g.Epoch, g.Head, reason, 0)
		return
	}
	if g.Draining() {
		p.retire(v, g.Name, g.Epoch, g.Head, "a member is leaving", finishFor)
		return
	}
	seen, known := p.strangers[g.Name]
	if !known {
		p.strangers[g.Name] = v.Now
		seen = v.Now
	}
	whole := g.Ready(size)
	if whole {
		p.complete[g.Name] = true
	}
	switch {
	case whole && g.Head.Membership.State == endpoint.Ready:
		if v.Now.Sub(p.opened[g.Name]) >= openAgain {
			p.opened[g.Name] = v.Now
			p.order(Order{Kind: Open, Endpoint: g.Head, Group: g.Name, Epoch: g.Epoch})
		}
	case !whole && !p.complete[g.Name] && v.Now.Sub(seen) > strangerGrace:
		p.retire(v, g.Name, g.Epoch, g.Head, "it stays incomplete", 0)
	}
}

// lost reports whether a member does not answer any more, and asks those in doubt.
func (p *Planner) lost(v *View, g *endpoint.Group) (bool, string) {
	members := make([]string, 0, len(g.Members))
	for id := range g.Members {
		members = append(members, id)
	}
	for id, gone := range v.Snapshot.Gone {
		if m := gone.Endpoint.Membership; m != nil && m.Group == g.Name && m.Epoch == g.Epoch {
			members = append(members, id)
			if !v.answers(id, askAgain) {
				p.ask(id)
			}
		}
	}
	if v.Suspects[g.Name] {
		p.ask(members...)
	}
	for _, id := range members {
		if v.down(id) {
			return true, "member " + id + " does not answer"
		}
	}
	return false, ""
}

// reviewHeadless deals with a group whose head is not listed.
func (p *Planner) reviewHeadless(v *View, g *endpoint.Group) {
	for id, gone := range v.Snapshot.Gone {
		m := gone.Endpoint.Membership
		if m != nil && m.Group == g.Name && m.Epoch == g.Epoch && m.Rank == 0 {
			p.ask(id)
			p.retire(v, g.Name, g.Epoch, gone.Endpoint, "the head is not listed any more", 0)
			return
		}
	}
	seen, known := p.strangers[g.Name]
	if !known {
		p.strangers[g.Name] = v.Now
		return
	}
	if v.Now.Sub(seen) > orphanHold {
		p.end(v, g.Name, "nobody knows its head")
	}
}

func (p *Planner) sizeOf(v *View, g *endpoint.Group) int {
	m, _ := v.Service.Engine.Model(g.Model)
	return m.Size
}
