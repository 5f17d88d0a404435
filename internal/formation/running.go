package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// unopenedGrace is how long a group that this tenure did not plan may stay unopened: an order to open it may
	// just have been given.
	unopenedGrace = 700 * time.Millisecond
	// incompleteGrace is how long such a group may lack a member in the listing.
	incompleteGrace = 2500 * time.Millisecond
	// orphanHold is how long members are left alone whose head nobody knows: it may still serve them.
	orphanHold = 12 * time.Second
	// askAgain is how old an answer may be that speaks for an endpoint that is not listed.
	askAgain = time.Second
)

// reviewGroups looks after the groups that no plan is about and retires what has lost a member. A group that an
// earlier leader has not opened is retired too, also when it is ready: that leader may have given it up, and
// joins of its members to others may still be on their way.
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
		p.lostAt[g.Name] = v.Now
		p.retire(v, g.Name, g.Epoch, g.Head, reason, 0)
		return
	}
	if g.Draining() {
		p.retire(v, g.Name, g.Epoch, g.Head, "a member is leaving", finishFor)
		return
	}
	seen, met := p.strangers[g.Name]
	if !met {
		p.strangers[g.Name] = v.Now
		seen = v.Now
	}
	whole := g.Ready(size)
	if whole {
		p.complete[g.Name] = true
	}
	known := v.Now.Sub(seen)
	switch {
	case g.Head.Membership.State != endpoint.Open && known > unopenedGrace:
		p.retire(v, g.Name, g.Epoch, g.Head, "an earlier leader has not opened it", 0)
	case !whole && !p.complete[g.Name] && known > incompleteGrace:
		p.retire(v, g.Name, g.Epoch, g.Head, "a member is missing", 0)
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
