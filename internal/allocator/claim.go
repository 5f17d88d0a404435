package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type node struct {
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
	wishes  []Places
	running map[groupKey]int
	limit   map[groupKey]int // as last sent
	held    map[groupKey]int // what the node may be using at most
}

// real is how many places the claim could use now or needed a moment ago. A place that is lent the moment
// it falls idle comes back only after the borrower's request, so the next request would wait that long.
func (c *claim) real() int {
	n := c.waiting + c.reserve
	for _, r := range c.running {
		n += r
	}
	return n
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
