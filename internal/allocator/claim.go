package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// node is the allocator's state for one entry node: a gateway that accepts requests of callers.
type node struct {
	vm          string
	incarnation string
	lastReport  time.Time
	lastGrant   uint64 // number of the last grant sent
	claims      map[string]*claim
	avoid       []Ref
}

// claim is the demand and the granted places of one workspace at one node. The maps hold numbers of places.
type claim struct {
	waiting   int
	reserve   int
	spare     int
	demand    int // places it can use now, or needed recently
	preferred []Places
	running   map[groupKey]int
	limit     map[groupKey]int // limits in the last grant sent
	held      map[groupKey]int // upper bound of the places that the node may be using
}

// updateDemand computes the demand. It includes the places needed recently: a place that is lent as soon as it
// is idle comes back only when the borrower's request ends, so the workspace's next request would wait that long.
func (c *claim) updateDemand() {
	c.demand = c.waiting + c.reserve
	for _, r := range c.running {
		c.demand += r
	}
}

func (n *node) avoids(key groupKey) bool {
	return slices.Contains(n.avoid, Ref{key.id, key.birth})
}

func (n *node) grant() Grant {
	out := Grant{Number: n.lastGrant}
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
