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

// nodes is the size of the fleet. CI runs 100 beside the few that the race detector bears.
var nodes = flag.Int("nodes", 40, "nodes of the fleet")

// What is aimed at for a fleet of 986 nodes, and so for smaller ones.
const (
	// mostCalls is how many calls of the store a fleet may make from the start of all nodes until all route.
	mostCalls = 600
	// mostCallsASecond is how many it may make afterwards.
	mostCallsASecond = 20
	// mostStart is within what all nodes have to route once their endpoints serve, or have gone on serving.
	mostStart = 5 * time.Second
)

// began is a moment from which things are counted.
type began struct {
	at   time.Time
	sent network.Traffic
}

// report logs what has been asked and sent since a moment.
func (f *fleet) report(t *testing.T, what string, since began) float64 {
	t.Helper()
	byKind, calls := f.store.counted()
	all, busiest := f.traffic()
	t.Logf("%s: %.1f s; %.0f calls of the store; all sent %.1f MB, %.1f of it in beats and %.1f to other data centres; the busiest %.2f MB so far",
		what, time.Since(since.at).Seconds(), calls, float64(all.Bytes-since.sent.Bytes)/1e6, float64(all.DatagramBytes-since.sent.DatagramBytes)/1e6,
		float64(all.CrossDataCentreBytes-since.sent.CrossDataCentreBytes)/1e6, float64(busiest.Bytes)/1e6)
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		t.Logf("    %-20s %.0f", kind, byKind[kind])
	}
	return calls
}

func (f *fleet) mark() began {
	all, _ := f.traffic()
	return began{time.Now(), all}
}

// spend lets some time pass and reports what was asked and sent in it.
func (f *fleet) spend(t *testing.T, what string, d time.Duration) (calls float64) {
	t.Helper()
	since := f.mark()
	time.Sleep(d)
	return f.report(t, what, since)
}

// TestStart starts all nodes at once before a store that knows none of them.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(*nodes)
		start := f.mark()
		took, ok := await(20*time.Second, func() bool { return f.configured() == *nodes })
		t.Logf("%d of %d nodes have the configuration after %.1f s", f.configured(), *nodes, took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls := f.report(t, "configured", start)
		most := *nodes * enginesANode / 8
		_, ok = await(30*time.Second, func() bool { open, _, _ := f.estate.open(); return open >= most })
		open, orders, first := f.estate.open()
		t.Logf("%d groups open after %d orders, the first %.1f s after the start", open, orders, first.Sub(start.at).Seconds())
		qt.Check(t, ok, qt.IsTrue)
		took, ok = await(mostStart, func() bool { return f.routing() == *nodes })
		t.Logf("%d of %d nodes route to them %.1f s later", f.routing(), *nodes, took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls += f.report(t, "serving", start)
		qt.Check(t, calls <= mostCalls, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		calls = f.spend(t, "5 s at rest", 5*time.Second)
		qt.Check(t, calls <= 5*mostCallsASecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		f.end()
	})
}

// running starts a fleet and returns it once all groups serve and all nodes know.
func running(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(*nodes)
	_, ok := await(30*time.Second, func() bool {
		open, _, _ := f.estate.open()
		return open >= *nodes*enginesANode/8 && f.routing() == *nodes
	})
	qt.Assert(t, ok, qt.IsTrue)
	time.Sleep(3 * time.Second)
	f.store.counted()
	return f
}

// TestAllAreKilled kills all nodes at once. The groups go on; nodes have to find each other and learn of them.
func TestAllAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := running(t)
		f.killAll()
		killed := f.mark()
		time.Sleep(500 * time.Millisecond)
		f.startAll(false)
		killed.sent = network.Traffic{} // the new lives count from zero
		took, ok := await(mostStart, func() bool { return f.ready() == *nodes && f.routing() == *nodes })
		t.Logf("%d of %d nodes take callers and %d route after %.1f s", f.ready(), *nodes, f.routing(), took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		calls := f.report(t, "serving again", killed)
		qt.Check(t, calls <= mostCalls, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		took, _ = await(10*time.Second, func() bool { return f.leader() >= 0 })
		t.Logf("somebody leads %.1f s later", took.Seconds())
		time.Sleep(5 * time.Second)
		f.report(t, "5 s later", killed)
		f.end()
	})
}

// TestThirdWithoutTheStore keeps a third of the nodes from the store for nine seconds, the leader among them or not.
func TestThirdWithoutTheStore(t *testing.T) {
	for name, withLeader := range map[string]bool{"leader": true, "others": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { thirdWithoutTheStore(t, withLeader) })
		})
	}
}

func thirdWithoutTheStore(t *testing.T, withLeader bool) {
	f := running(t)
	rest := f.leader() % 3
	if !withLeader {
		rest = (rest + 1) % 3
	}
	var third []*life
	for i, l := range f.lives {
		if i%3 == rest {
			third = append(third, l)
		}
	}
	f.cutFromStore(true, third...)
	cut := f.mark()
	least := *nodes
	for range 90 {
		time.Sleep(100 * time.Millisecond)
		least = min(least, f.ready())
	}
	t.Logf("at least %d of %d nodes took callers meanwhile", least, *nodes)
	qt.Check(t, least, qt.Equals, *nodes)
	calls := f.report(t, "a third without the store", cut)
	qt.Check(t, calls <= 9*mostCallsASecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
	f.cutFromStore(false, third...)
	f.spend(t, "back", 3*time.Second)
	f.end()
}

// TestLeaderWithoutTheStore keeps the leader from the store for seven seconds, and then all nodes.
func TestLeaderWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := running(t)
		was := f.leader()
		f.cutFromStore(true, f.lives[was])
		cut := f.mark()
		took, ok := await(5*time.Second, func() bool { l := f.leader(); return l >= 0 && l != was })
		t.Logf("another leads after %.1f s", took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		time.Sleep(7*time.Second - took)
		qt.Check(t, f.ready(), qt.Equals, *nodes)
		f.report(t, "the leader without the store", cut)
		f.cutFromStore(true, f.lives...)
		f.spend(t, "all without it", 4*time.Second)
		f.cutFromStore(false, f.lives...)
		cut = f.mark()
		took, ok = await(5*time.Second, func() bool { return f.ready() == *nodes && f.leader() >= 0 })
		t.Logf("all take callers and one leads %.1f s after its return", took.Seconds())
		qt.Check(t, ok, qt.IsTrue)
		time.Sleep(3 * time.Second)
		f.report(t, "back", cut)
		f.end()
	})
}

// TestWatchesAreCut cuts the watches that wait, as the store may at any time. Who leads has no reason to stop.
func TestWatchesAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := running(t)
		leader, since := f.leader(), f.mark()
		f.store.cutWatches()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			qt.Check(t, f.leader(), qt.Equals, leader)
		}
		calls := f.report(t, "watches cut", since)
		qt.Check(t, calls <= 3*mostCallsASecond, qt.IsTrue, qt.Commentf("%.0f calls", calls))
		f.end()
	})
}

// TestHistoryIsForgotten lets the store forget its history again and again.
func TestHistoryIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := running(t)
		since := f.mark()
		for range 15 {
			time.Sleep(time.Second)
			f.store.forget()
		}
		f.report(t, "history forgotten each second", since)
		qt.Check(t, f.ready(), qt.Equals, *nodes)
		f.end()
	})
}
