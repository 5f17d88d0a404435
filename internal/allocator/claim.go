package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// node is what is known of one entry node.
type node struct {
	vm          string
	incarnation string
	heard       time.Time
	number      uint64 // last grant sent
	claims      map[string]*claim
	avoid       []Ref
}

// claim is what one workspace holds at one node.
type claim struct {
	waiting int
	reserve int
	spare   int
	demand  int // places it could use now or needed a moment ago
	wishes  []Places
	running map[groupKey]int
	limit   map[groupKey]int // as last sent
	held    map[groupKey]int // what the node may be using at most
}

// reckon works the demand out. A place that is lent the moment it falls idle comes back only after the
// borrower's request, so the next request would wait that long: what was needed a moment ago counts too.
func (c *claim) reckon() {
	c.demand = c.waiting + c.reserve
	for _, r := range c.running {
		c.demand += r
	}
}

func (n *node) avoids(key groupKey) bool {
	return slices.Contains(n.avoid, Ref{key.id, key.birth})
}

func (n *node) grant() Grant {
	out := Grant{Number: n.number}
	for _, workspace := range slices.Sorted(maps.Keys(n.claims)) {
		w := WorkspaceGrant{Workspace: workspace}
		c := n.claims[workspace]
		for key, limit := range c.limit {
			w.Limits = append(w.Limits, Places{key.id, key.birth, limit})
		}
		slices.SortFunc(w.Limits, func(a, b Places) int { return cmp.Compare(a.Group, b.Group) })
		out.Workspaces = append(out.Workspaces, w)
	}
	return out
}
