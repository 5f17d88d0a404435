package fleet

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/network"
)

// nodes is the size of the fleet. The default is small enough for the race detector; CI also runs 100 nodes without it.
var nodes = flag.Int("nodes", 40, "number of nodes in the fleet")

// Target limits for a fleet of 986 nodes; smaller fleets have to keep to them as well.
const (
	// maxStartCalls is the maximum number of store calls by the fleet from the start of all nodes until all of them route.
	maxStartCalls = 600
	// maxCallsPerSecond is the maximum number of store calls per second by the fleet afterwards.
	maxCallsPerSecond = 20
	// maxRoutingDelay is the time within which all nodes have to route, from when their endpoints serve, or from the start
	// of the nodes if the endpoints have kept serving.
	maxRoutingDelay = 5 * time.Second
)

// baseline is the time and the traffic from which a report counts.
type baseline struct {
	at   time.Time
	sent network.Traffic
}

// report logs the store calls since the last report and the traffic since a baseline, and returns the number of calls.
func (f *fleet) report(t *testing.T, label string, since baseline) float64 {
	t.Helper()
	byKind, calls := f.store.takeCalls()
	total, busiest := f.traffic()
	t.Logf("%s: %.1f s; %.0f store calls; all nodes sent %.1f MB, %.1f MB of it in heartbeats and %.1f MB to other data centres; the busiest node has sent %.2f MB so far",
		label, time.Since(since.at).Seconds(), calls, float64(total.Bytes-since.sent.Bytes)/1e6, float64(total.DatagramBytes-since.sent.DatagramBytes)/1e6,
		float64(total.CrossDataCentreBytes-since.sent.CrossDataCentreBytes)/1e6, float64(busiest.Bytes)/1e6)
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		t.Logf("    %-20s %.0f", kind, byKind[kind])
	}
	return calls
}

func (f *fleet) newBaseline() baseline {
	total, _ := f.traffic()
	return baseline{time.Now(), total}
}

// runFor lets the fleet run for a duration and reports its store calls and traffic in that time.
func (f *fleet) runFor(t *testing.T, label string, d time.Duration) (calls float64) {
	t.Helper()
	since := f.newBaseline()
	time.Sleep(d)
	return f.report(t, label, since)
}

// TestStart starts all nodes at once with a store in which none of them is registered.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(*nodes)
		start := f.newBaseline()
		took, ok := await(20*time.Second, func() bool { return f.countConfigured() == *nodes })
		t.Logf("%d of %d nodes have the configuration after %.1f s", f.countConfigured(), *nodes, took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls := f.report(t, "configured", start)
		wantGroups := *nodes * enginesPerNode / 8
		_, ok = await(30*time.Second, func() bool { open, _, _ := f.endpoints.stats(); return open >= wantGroups })
		open, orders, first := f.endpoints.stats()
		t.Logf("%d groups open after %d orders, the first %.1f s after the start", open, orders, first.Sub(start.at).Seconds())
		qt.Check(t, ok, qt.IsTrue)
		took, ok = await(maxRoutingDelay, func() bool { return f.countRouting() == *nodes })
		t.Logf("%d of %d nodes route to all open groups %.1f s later", f.countRouting(), *nodes, took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls += f.report(t, "serving", start)
		qt.Check(t, calls <= maxStartCalls, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		calls = f.runFor(t, "idle for 5 s", 5*time.Second)
		qt.Check(t, calls <= 5*maxCallsPerSecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		f.stop()
	})
}

// newServingFleet starts a fleet and returns it once all groups are open and all nodes route to them.
func newServingFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(*nodes)
	_, ok := await(30*time.Second, func() bool {
		open, _, _ := f.endpoints.stats()
		return open >= *nodes*enginesPerNode/8 && f.countRouting() == *nodes
	})
	qt.Assert(t, ok, qt.IsTrue)
	time.Sleep(3 * time.Second)
	f.store.takeCalls()
	return f
}

// TestAllAreKilled kills all nodes at once. The groups keep serving; the restarted nodes have to discover each other and
// the groups.
func TestAllAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		f.killAll()
		killed := f.newBaseline()
		time.Sleep(500 * time.Millisecond)
		f.startAll(false)
		killed.sent = network.Traffic{} // the new processes count from zero
		took, ok := await(maxRoutingDelay, func() bool { return f.countReady() == *nodes && f.countRouting() == *nodes })
		t.Logf("%d of %d nodes accept callers and %d route after %.1f s", f.countReady(), *nodes, f.countRouting(), took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls := f.report(t, "serving again", killed)
		qt.Check(t, calls <= maxStartCalls, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		took, _ = await(10*time.Second, func() bool { return f.leaderIndex() >= 0 })
		t.Logf("a node leads %.1f s later", took.Seconds())
		time.Sleep(5 * time.Second)
		f.report(t, "5 s later", killed)
		f.stop()
	})
}

// TestThirdWithoutTheStore cuts a third of the nodes off from the store for nine seconds, once with the leader among them
// and once without it.
func TestThirdWithoutTheStore(t *testing.T) {
	for name, withLeader := range map[string]bool{"leader": true, "others": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { thirdWithoutTheStore(t, withLeader) })
		})
	}
}

func thirdWithoutTheStore(t *testing.T, withLeader bool) {
	f := newServingFleet(t)
	remainder := f.leaderIndex() % 3
	if !withLeader {
		remainder = (remainder + 1) % 3
	}
	var third []*process
	for i, proc := range f.processes {
		if i%3 == remainder {
			third = append(third, proc)
		}
	}
	f.cutFromStore(true, third...)
	cut := f.newBaseline()
	minReady := *nodes
	for range 90 {
		time.Sleep(100 * time.Millisecond)
		minReady = min(minReady, f.countReady())
	}
	t.Logf("at least %d of %d nodes accepted callers at any time", minReady, *nodes)
	qt.Check(t, minReady, qt.Equals, *nodes)
	calls := f.report(t, "a third without the store", cut)
	qt.Check(t, calls <= 9*maxCallsPerSecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
	f.cutFromStore(false, third...)
	f.runFor(t, "reconnected", 3*time.Second)
	f.stop()
}

// TestLeaderWithoutTheStore cuts the leader off from the store for seven seconds, and then all nodes.
func TestLeaderWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		oldLeader := f.leaderIndex()
		f.cutFromStore(true, f.processes[oldLeader])
		cut := f.newBaseline()
		took, ok := await(5*time.Second, func() bool { l := f.leaderIndex(); return l >= 0 && l != oldLeader })
		t.Logf("another node leads after %.1f s", took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		time.Sleep(7*time.Second - took)
		qt.Check(t, f.countReady(), qt.Equals, *nodes)
		f.report(t, "the leader without the store", cut)
		f.cutFromStore(true, f.processes...)
		f.runFor(t, "all nodes without the store", 4*time.Second)
		f.cutFromStore(false, f.processes...)
		cut = f.newBaseline()
		took, ok = await(5*time.Second, func() bool { return f.countReady() == *nodes && f.leaderIndex() >= 0 })
		t.Logf("all nodes accept callers and one leads %.1f s after they reach the store again", took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		time.Sleep(3 * time.Second)
		f.report(t, "reconnected", cut)
		f.stop()
	})
}

// TestWatchesAreCut cuts all waiting watches, as the store may do at any time. The leader must not give up the lease for
// that.
func TestWatchesAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		leader, since := f.leaderIndex(), f.newBaseline()
		f.store.cutWatches()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			qt.Check(t, f.leaderIndex(), qt.Equals, leader)
		}
		calls := f.report(t, "watches cut", since)
		qt.Check(t, calls <= 3*maxCallsPerSecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		f.stop()
	})
}

// TestNodesStayReadyWhenTheStoreDropsItsHistory drops the store's history of changes once per second.
func TestNodesStayReadyWhenTheStoreDropsItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t)
		since := f.newBaseline()
		for range 15 {
			time.Sleep(time.Second)
			f.store.dropHistory()
		}
		f.report(t, "history dropped every second", since)
		qt.Check(t, f.countReady(), qt.Equals, *nodes)
		f.stop()
	})
}
