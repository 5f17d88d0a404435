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

// take reports whether a retry of the use that is worth most is allowed.
func take(b *retry.Budget, now time.Time) bool {
	_, ok := b.Take(retry.Resume, now)
	return ok
}

var limits = retry.Limits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}

func singleNode() retry.Nodes { return retry.Nodes{All: 1, Busy: 1} }

// exhaust takes all retries that are allowed now and returns their number.
func exhaust(b *retry.Budget, now time.Time) int {
	n := 0
	for take(b, now) {
		n++
	}
	return n
}

// full returns the budget of a process that is one window old at origin.
func full(l retry.Limits, n retry.Nodes) *retry.Budget {
	return retry.NewBudget(l, func() retry.Nodes { return n }, origin.Add(-l.Window))
}

// Guards against a new process that spends at once the slack that the process before it has spent.
func TestSlackIsAvailableOnlyAsAProcessAges(t *testing.T) {
	for age, atMost := range map[time.Duration]float64{0: 0, time.Second: limits.Slack / 10, 5 * time.Second: limits.Slack / 2, time.Hour: limits.Slack} {
		b := retry.NewBudget(limits, singleNode, origin)
		n := exhaust(b, origin.Add(age))
		qt.Check(t, float64(n) <= atMost, qt.IsTrue, qt.Commentf("%d retries after %v", n, age))
		qt.Check(t, n > 0, qt.Equals, age > 0, qt.Commentf("%d retries after %v", n, age))
	}
}

// Guards against a process that uses slack although it does not know among how many nodes it is divided.
func TestUnknownFleetLeavesNoSlack(t *testing.T) {
	b := full(limits, retry.Nodes{})
	qt.Check(t, exhaust(b, origin), qt.Equals, 0)
	for range 100 {
		b.Request(origin)
	}
	n := exhaust(b, origin)
	qt.Check(t, n > 0 && float64(n) <= limits.Ratio*100, qt.IsTrue, qt.Commentf("%d retries for 100 requests", n))
}

func TestSlackIsDividedAmongNodes(t *testing.T) {
	taken := func(nodes int) int { return exhaust(full(limits, retry.Nodes{All: nodes, Busy: nodes}), origin) }
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
			n += exhaust(full(retry.Limits{Ratio: 0.2, Slack: 1040, Window: 10 * time.Second}, nodes), origin)
		}
		return n
	}
	qt.Check(t, spent(986, 40) >= 7*40, qt.IsTrue, qt.Commentf("%d by 40 of 986 nodes", spent(986, 40)))
	qt.Check(t, spent(986, 40) <= spent(9, 9), qt.IsTrue, qt.Commentf("%d", spent(986, 40)))
}

// Guards against a budget that gives out again, within a window, more than the slack that has flowed in meanwhile.
func TestSpentRetriesComeBackOverAWindow(t *testing.T) {
	b := full(limits, singleNode())
	spent := exhaust(b, origin)
	qt.Check(t, take(b, origin.Add(time.Millisecond)), qt.IsFalse)
	again := exhaust(b, origin.Add(limits.Window/2)) + exhaust(b, origin.Add(limits.Window-1))
	qt.Check(t, float64(spent+again) <= limits.Slack, qt.IsTrue, qt.Commentf("%d retries in a window", spent+again))
	qt.Check(t, take(b, origin.Add(limits.Window+time.Second)), qt.IsTrue)
}

// Guards against hedges and first answers that leave no retries for streams which callers have begun to receive.
func TestStreamsThatHaveBegunGetTheLastRetries(t *testing.T) {
	b := full(limits, singleNode())
	size := b.State(origin).Size
	count := func(use retry.Use) (n float64) {
		for ; ; n++ {
			if _, ok := b.Take(use, origin); !ok {
				return n
			}
		}
	}
	hedges, resends, resumes := count(retry.Hedge), count(retry.Resend), count(retry.Resume)
	qt.Check(t, hedges <= size/2, qt.IsTrue, qt.Commentf("%v hedges of %v", hedges, size))
	qt.Check(t, resends > 0, qt.IsTrue)
	qt.Check(t, resumes >= size/10, qt.IsTrue, qt.Commentf("%v resumed streams of %v", resumes, size))
}

// A single retry may have any use.
func TestLastRetryIsNotReserved(t *testing.T) {
	l := retry.Limits{Ratio: 0.2, Slack: 4, Window: 10 * time.Second}
	for _, use := range []retry.Use{retry.Hedge, retry.Resend, retry.Resume} {
		_, ok := full(l, singleNode()).Take(use, origin)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("use %d", use))
	}
}

// Guards against a young process that refuses retries because its budget has not filled yet.
func TestYoungProcessReservesLittle(t *testing.T) {
	for _, use := range []retry.Use{retry.Hedge, retry.Resend, retry.Resume} {
		for age := limits.Window / 10; age <= limits.Window; age += limits.Window / 10 {
			b := retry.NewBudget(limits, singleNode, origin)
			_, ok := b.Take(use, origin.Add(age))
			qt.Check(t, ok, qt.IsTrue, qt.Commentf("use %d after %v", use, age))
		}
	}
}

// Guards against retries that wait for a place, or in a suspended process, and arrive in a later window than they were counted in.
func TestRetryThatIsSentLateIsTakenAgain(t *testing.T) {
	b := full(limits, singleNode())
	qt.Assert(t, take(b, origin), qt.IsTrue)
	qt.Check(t, b.Renew(retry.Resume, origin, origin.Add(limits.MaxDelay())), qt.IsTrue)
	later := origin.Add(limits.MaxDelay() + 1)
	before := b.State(later).Available
	qt.Check(t, b.Renew(retry.Resume, origin, later), qt.IsTrue)
	qt.Check(t, b.State(later).Available, qt.Equals, before-1)
	exhaust(b, later)
	qt.Check(t, b.Renew(retry.Resume, origin, later), qt.IsFalse)
}

func TestReturnedRetryMayBeTakenAgain(t *testing.T) {
	b := full(limits, singleNode())
	exhaust(b, origin)
	b.Return(origin, origin)
	qt.Check(t, exhaust(b, origin), qt.Equals, 1)
	late := origin.Add(limits.MaxDelay() + 1)
	before := b.State(late).Available
	b.Return(origin, late)
	qt.Check(t, b.State(late).Available, qt.Equals, before, qt.Commentf("it is lost"))
	later := origin.Add(time.Hour)
	b.Return(later, later)
	s := b.State(later)
	qt.Check(t, s.Available, qt.Equals, s.Size, qt.Commentf("no more than the budget holds"))
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
