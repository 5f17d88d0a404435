package allocator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/allocator"
	_ "moorrun.dev/moorrun/internal/rapidseed"
)

const (
	groups = 3
	places = 4
)

// entryNode simulates an entry node that applies the allocator's grants.
type entryNode struct {
	vm          string
	incarnation int
	grant       uint64
	waiting     map[string]int
	limit       map[string]map[string]int // workspace → group
	running     map[string]map[string]int
}

func newEntryNode(i int) *entryNode {
	return &entryNode{vm: fmt.Sprint("n", i), waiting: map[string]int{}, limit: map[string]map[string]int{}, running: map[string]map[string]int{}}
}

func (n *entryNode) start(workspace string) {
	for group, limit := range n.limit[workspace] {
		if n.waiting[workspace] > 0 && n.running[workspace][group] < limit {
			if n.running[workspace] == nil {
				n.running[workspace] = map[string]int{}
			}
			n.running[workspace][group]++
			n.waiting[workspace]--
		}
	}
}

func (n *entryNode) finish(workspace string) {
	for group, running := range n.running[workspace] {
		if running > 0 {
			n.running[workspace][group]--
			return
		}
	}
}

func (n *entryNode) report() allocator.Report {
	r := allocator.Report{VM: n.vm, Incarnation: fmt.Sprint(n.incarnation), Grant: n.grant}
	for _, w := range []string{"a", "b"} {
		d := allocator.Demand{Workspace: w, Waiting: n.waiting[w], Spare: 1}
		for group, running := range n.running[w] {
			if running > 0 {
				d.Running = append(d.Running, allocator.Places{Group: group, Birth: 1, Count: running})
			}
		}
		r.Workspaces = append(r.Workspaces, d)
	}
	return r
}

func (n *entryNode) apply(g allocator.Grant) {
	n.grant = g.Number
	n.limit = map[string]map[string]int{}
	for _, w := range g.Workspaces {
		n.limit[w.Workspace] = map[string]int{}
		for _, p := range w.Limits {
			n.limit[w.Workspace][p.Group] = p.Count
		}
	}
}

// placesInUse returns, by group, the places that the nodes may use or that run a request.
func placesInUse(nodes []*entryNode) map[string]int {
	out := map[string]int{}
	for _, n := range nodes {
		for _, w := range []string{"a", "b"} {
			for g := range groups {
				group := fmt.Sprint("g", g)
				out[group] += max(n.limit[w][group], n.running[w][group])
			}
		}
	}
	return out
}

func allGroups() []allocator.Group {
	var out []allocator.Group
	for g := range groups {
		out = append(out, allocator.Group{ID: fmt.Sprint("g", g), Birth: 1, Places: places})
	}
	return out
}

func share(workspace string) int {
	if workspace == "a" {
		return 3
	}
	return 1
}

// TestNoPlaceIsHeldTwiceWhenRepliesAreLost guards against granting more places than a group has when replies
// are lost or a node's process is replaced, when the limits that a node applies can differ from those last granted.
func TestNoPlaceIsHeldTwiceWhenRepliesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		pool := allocator.NewPool(now)
		pool.SetGroups(allGroups())
		nodes := []*entryNode{newEntryNode(0), newEntryNode(1), newEntryNode(2)}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			w := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				n.waiting[w] += rapid.IntRange(1, 20).Draw(t, "arrivals")
			case 1:
				n.finish(w)
			case 2:
				n.start(w)
			case 3: // the reply is lost
				pool.Report(n.report(), share, len(nodes), now)
			case 4: // the node's process is replaced by a new one
				fresh := newEntryNode(0)
				fresh.vm, fresh.incarnation = n.vm, n.incarnation+1
				*n = *fresh
			default:
				n.apply(pool.Report(n.report(), share, len(nodes), now))
			}
			for group, total := range placesInUse(nodes) {
				if total > places {
					t.Fatalf("%d places of group %s are held, but it has only %d", total, group, places)
				}
			}
		}
	})
}

// runRounds lets the nodes report one after another. Requests start and finish between reports, so that places can move
// between nodes and workspaces; more requests wait than there are places.
func runRounds(pool *allocator.Pool, nodes []*entryNode, now time.Time, rounds int) {
	for range rounds {
		for _, n := range nodes {
			n.apply(pool.Report(n.report(), share, len(nodes), now))
			for _, w := range []string{"a", "b"} {
				for range groups * places {
					n.start(w)
				}
				n.finish(w)
			}
			now = now.Add(10 * time.Millisecond)
		}
	}
}

func held(nodes []*entryNode, workspace string) int {
	total := 0
	for _, n := range nodes {
		for _, c := range n.limit[workspace] {
			total += c
		}
	}
	return total
}

func TestSharesAreKeptForAnyDistributionOfArrivals(t *testing.T) {
	const backlog = 1 << 20
	for _, skew := range []int{0, 25, 50, 100} {
		t.Run(fmt.Sprint(skew), func(t *testing.T) {
			now := time.Unix(1000, 0)
			pool := allocator.NewPool(now)
			pool.SetGroups(allGroups())
			nodes := []*entryNode{newEntryNode(0), newEntryNode(1)}
			nodes[0].waiting["a"], nodes[1].waiting["a"] = backlog*skew/100, backlog*(100-skew)/100
			nodes[0].waiting["b"], nodes[1].waiting["b"] = backlog*(100-skew)/100, backlog*skew/100
			runRounds(pool, nodes, now, 60)
			qt.Assert(t, held(nodes, "a"), qt.Equals, 9)
			qt.Assert(t, held(nodes, "b"), qt.Equals, 3)
			nodes[0].waiting["a"], nodes[1].waiting["a"] = 0, 0
			runRounds(pool, nodes, now, 60)
			qt.Assert(t, held(nodes, "b"), qt.Equals, groups*places, qt.Commentf("all places of an idle workspace are lent to the other"))
		})
	}
}

func TestNewAllocatorGrantsNothingDuringWarmUp(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := allocator.NewPool(now)
	pool.SetGroups(allGroups())
	n := newEntryNode(0)
	n.waiting["a"] = 5
	g := pool.Report(n.report(), share, 2, now)
	n.apply(g)
	qt.Assert(t, held([]*entryNode{n}, "a"), qt.Equals, 0)
	n.apply(pool.Report(n.report(), share, 2, now.Add(allocator.WarmUp)))
	qt.Assert(t, held([]*entryNode{n}, "a") >= 5, qt.IsTrue)
}
