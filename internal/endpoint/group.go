package endpoint

// Group is a replica group as reported by its members.
type Group struct {
	Name    string
	Epoch   int64
	Service string
	Model   string
	Domain  string
	Head    *Endpoint            // member of rank 0; nil if it is not listed
	Members map[string]*Endpoint // by ID
}

// Ready reports whether the group has its head and size members, none of which is still joining.
func (g *Group) Ready(size int) bool {
	if g.Head == nil || len(g.Members) != size {
		return false
	}
	for _, m := range g.Members {
		if m.Membership.State == Joining {
			return false
		}
	}
	return true
}

// Draining reports whether any member is draining.
func (g *Group) Draining() bool {
	for _, m := range g.Members {
		if m.Draining {
			return true
		}
	}
	return false
}

// groupsOf returns the replica groups that the endpoints report to be in. Of each group only the members of its latest epoch
// count.
func groupsOf(endpoints map[string]*Endpoint) map[string]*Group {
	out := make(map[string]*Group)
	for _, e := range endpoints {
		if e.Membership == nil {
			continue
		}
		g := out[e.Membership.Group]
		if g == nil || g.Epoch < e.Membership.Epoch {
			g = &Group{Name: e.Membership.Group, Epoch: e.Membership.Epoch, Service: e.Service, Domain: e.Domain, Members: make(map[string]*Endpoint)}
			out[g.Name] = g
		}
		if g.Epoch != e.Membership.Epoch {
			continue
		}
		g.Members[e.ID] = e
		if e.Membership.Rank == 0 {
			g.Head = e
		}
		if g.Model == "" && len(e.Models) > 0 {
			g.Model = e.Models[0]
		}
	}
	return out
}
