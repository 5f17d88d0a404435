package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/retry"
)

var origin = time.Unix(1000, 0)

// take reports whether a retry is allowed.
func take(b *retry.Budget, now time.Time) bool {
	_, ok := b.Take(now)
	return ok
}

var limits = retry.Limits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}

func singleNode() retry.Nodes { return retry.Nodes{All: 1, Busy: 1} }

func TestSlackAllowsInitialRetries(t *testing.T) {
	b := retry.NewBudget(limits, singleNode, origin)
	qt.Check(t, take(b, origin), qt.IsTrue)
}

func TestSlackIsDividedAmongNodes(t *testing.T) {
	taken := func(nodes int) int {
		b := retry.NewBudget(limits, func() retry.Nodes { return retry.Nodes{All: nodes, Busy: nodes} }, origin)
		n := 0
		for take(b, origin) {
			n++
		}
		return n
	}
	qt.Check(t, taken(9) <= taken(1)/9, qt.IsTrue, qt.Commentf("%d and %d", taken(9), taken(1)))
	qt.Check(t, taken(9) > 0, qt.IsTrue)
}

// Callers use few nodes of a large fleet. These nodes receive half of the usable slack, and together no more than all nodes
// of a fleet in which callers use every node.
func TestSlackFavoursBusyNodes(t *testing.T) {
	spent := func(all, busy int) int {
		n := 0
		for i := range all {
			nodes := retry.Nodes{All: all}
			if i < busy {
				nodes.Busy = busy
			}
			b := retry.NewBudget(retry.Limits{Ratio: 0.2, Slack: 1040, Window: 10 * time.Second}, func() retry.Nodes { return nodes }, origin)
			for take(b, origin) {
				n++
			}
		}
		return n
	}
	qt.Check(t, spent(986, 40) >= 7*40, qt.IsTrue, qt.Commentf("%d by 40 of 986 nodes", spent(986, 40)))
	qt.Check(t, spent(986, 40) <= spent(9, 9), qt.IsTrue, qt.Commentf("%d", spent(986, 40)))
}

func TestRetriesExpireAfterWindow(t *testing.T) {
	b := retry.NewBudget(limits, singleNode, origin)
	for take(b, origin) { //nolint:revive // uses all retries
	}
	qt.Check(t, take(b, origin.Add(9*time.Second)), qt.IsFalse)
	qt.Check(t, take(b, origin.Add(11*time.Second)), qt.IsTrue)
}

// TestAllNodesTogetherStayWithinLimits simulates nodes that start at different times and use as many retries as they can. In
// no window may they together exceed the limits.
func TestAllNodesTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*retry.Budget, nodes)
		for i := range budgets {
			start := origin.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * time.Millisecond)
			budgets[i] = retry.NewBudget(limits, func() retry.Nodes { return retry.Nodes{All: nodes, Busy: nodes} }, start)
		}
		var requests, retries []time.Time
		now := origin
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				b.Request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "retries") {
				if take(b, now) {
					retries = append(retries, now)
				}
			}
			inWindow := func(list []time.Time, span time.Duration) int {
				n := 0
				for _, at := range list {
					if now.Sub(at) < span {
						n++
					}
				}
				return n
			}
			allowed := limits.Ratio*float64(inWindow(requests, limits.Window)) + limits.Slack
			if got := inWindow(retries, limits.Window); float64(got) > allowed {
				t.Fatalf("%d retries in a window, allowed %.1f", got, allowed)
			}
		}
	})
}
