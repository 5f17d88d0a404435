package queueing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "moorrun.dev/moorrun/internal/rapidseed"
)

var start = time.Unix(1000, 0)

// chooser chooses the next of the waiting requests; implemented by Order and the rules that it is compared with.
type chooser interface {
	Next(waiting []*Entry, running func(string) int, now time.Time) int
	Take(waiting []*Entry, i int, now time.Time)
	Arrive(Class)
	Serve(Class)
}

// source is a stream of equal requests of a simulation.
type source struct {
	name      string
	rank      int
	workspace string
	perSecond float64
	inTime    time.Duration // wait after which the request is late
	patience  time.Duration // wait after which the caller leaves
	size      int
}

// outcome counts the requests of a source.
type outcome struct {
	requests, inTime, late int
	wait                   time.Duration // total of those served
}

func (o *outcome) served() float64      { return float64(o.inTime+o.late) / float64(max(1, o.requests)) }
func (o *outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(1, o.requests)) }

// simulate serves the sources' requests for the given time at a number of places, each of which a request keeps for half of hold to
// one and a half times hold.
func simulate(c chooser, sources []source, places int, hold, length time.Duration) map[string]*outcome {
	random := rand.New(rand.NewPCG(1, 2))
	out := make(map[string]*outcome)
	for _, s := range sources {
		out[s.name] = &outcome{}
	}
	type waiting struct {
		entry  Entry
		source source
	}
	type release struct {
		at        time.Time
		workspace string
	}
	var queue []*waiting
	var ends []release
	running := make(map[string]int)
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			running[ends[0].workspace]--
			ends = ends[1:]
		}
		for _, s := range sources {
			if random.Float64() < s.perSecond/1000 {
				queue = append(queue, &waiting{Entry{Class: Class{Rank: s.rank, Size: s.size}, Workspace: s.workspace, InTimeUntil: now.Add(s.inTime), Arrived: now}, s})
				out[s.name].requests++
				c.Arrive(Class{s.rank, s.size})
			}
		}
		queue = slices.DeleteFunc(queue, func(w *waiting) bool { return now.Sub(w.entry.Arrived) > w.source.patience })
		for len(queue) > 0 && len(ends) < places {
			entries := make([]*Entry, len(queue))
			for i, w := range queue {
				entries[i] = &w.entry
			}
			i := c.Next(entries, func(w string) int { return running[w] }, now)
			c.Take(entries, i, now)
			w := queue[i]
			c.Serve(w.entry.Class)
			if w.entry.Late(now) {
				out[w.source.name].late++
			} else {
				out[w.source.name].inTime++
			}
			out[w.source.name].wait += now.Sub(w.entry.Arrived)
			running[w.source.workspace]++
			ends = append(ends, release{now.Add(time.Duration((0.5 + random.Float64()) * float64(hold))), w.source.workspace})
			slices.SortFunc(ends, func(a, b release) int { return a.at.Compare(b.at) })
			queue = slices.Delete(queue, i, i+1)
		}
	}
	return out
}

// byRankOnly is the rule of the picker before this package: rank, running requests of the workspace, arrival.
type byRankOnly struct{ Order }

func (byRankOnly) Next(waiting []*Entry, running func(string) int, _ time.Time) int {
	return minIndex(waiting, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(running(a.Workspace), running(b.Workspace)), a.Arrived.Compare(b.Arrived))
	})
}

// lexicographic compares lateness only after rank and workspace. It gives late requests one place in four too.
type lexicographic struct{ Order }

func (l *lexicographic) Next(waiting []*Entry, running func(string) int, now time.Time) int {
	if i := l.Order.Next(waiting, running, now); waiting[i].Late(now) {
		return i
	}
	return minIndex(waiting, func(a, b *Entry) int {
		late := 0
		if a.Late(now) != b.Late(now) {
			late = 1
			if b.Late(now) {
				late = -1
			}
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(running(a.Workspace), running(b.Workspace)), late, a.Arrived.Compare(b.Arrived))
	})
}

func minIndex(waiting []*Entry, compare func(a, b *Entry) int) int {
	return slices.Index(waiting, slices.MinFunc(waiting, compare))
}

// Guards against a caller that sends ten times its share and so makes the requests of another workspace wait.
func TestFloodOfOneWorkspaceDoesNotLengthenAnothersWait(t *testing.T) {
	wait := func(floodPerSecond float64) time.Duration {
		o := simulate(&Order{}, []source{
			{name: "calm", workspace: "calm", perSecond: 2, inTime: 500 * time.Millisecond, patience: time.Second},
			{name: "flood", workspace: "flood", perSecond: floodPerSecond, inTime: 500 * time.Millisecond, patience: time.Second},
		}, 10, time.Second, 60*time.Second)["calm"]
		qt.Check(t, o.inTimeShare() > 0.95, qt.IsTrue, qt.Commentf("%+v at a flood of %.0f/s", *o, floodPerSecond))
		return o.wait / time.Duration(o.inTime+o.late)
	}
	share, flood := wait(10), wait(100)
	t.Logf("mean wait of the calm workspace: %s beside a workspace that fills the places, %s beside a flood", share, flood)
	qt.Check(t, flood < share*5/4, qt.IsTrue)
}

// Guards against ranks, workspaces and sizes of prompt that get nothing while others overload the places.
func TestNothingStarves(t *testing.T) {
	patience := 2 * time.Second
	sources := []source{
		{"urgent", 0, "a", 30, 150 * time.Millisecond, patience, 3},
		{"urgent, long prompts", 0, "b", 6, 20 * time.Millisecond, patience, 3},
		{"notes", 1, "b", 6, 200 * time.Millisecond, patience, 0},
		{"digests", 2, "c", 3, 600 * time.Millisecond, patience, 0},
		{"digests, long prompts", 2, "d", 3, 50 * time.Millisecond, patience, 3},
	}
	for _, places := range []int{6, 12, 24} {
		o := simulate(&Order{}, sources, places, time.Second, 30*time.Second)
		all := outcome{}
		for _, s := range o {
			all.requests, all.inTime, all.late = all.requests+s.requests, all.inTime+s.inTime, all.late+s.late
		}
		for _, s := range sources {
			qt.Check(t, o[s.name].served() >= all.served()/4, qt.IsTrue,
				qt.Commentf("%d places: %s is served %.3f of the time, the average is %.3f", places, s.name, o[s.name].served(), all.served()))
		}
		before := simulate(&byRankOnly{}, sources, places, time.Second, 30*time.Second)
		t.Logf("%d places, share served of the least urgent: %.3f, by rank only %.3f; all %.3f", places, o["digests"].served(), before["digests"].served(), all.served())
	}
}

// Compares the order with two others: lateness after rank and workspace, and the rule before this package.
func TestMoreRequestsAreInTimeThanByOtherOrders(t *testing.T) {
	patience := 2 * time.Second
	sources := []source{
		{"urgent", 0, "a", 40, 100 * time.Millisecond, patience, 0},
		{"notes", 1, "b", 10, 300 * time.Millisecond, patience, 0},
		{"digests", 1, "c", 10, 300 * time.Millisecond, patience, 0},
	}
	inTime := func(c chooser) float64 {
		n, all := 0, 0
		for _, o := range simulate(c, sources, 40, time.Second, 30*time.Second) {
			n, all = n+o.inTime, all+o.requests
		}
		return float64(n) / float64(all)
	}
	kept, lexical, before := inTime(&Order{}), inTime(&lexicographic{}), inTime(&byRankOnly{})
	t.Logf("in time: %.3f; lateness after rank and workspace %.3f; by rank only %.3f", kept, lexical, before)
	qt.Check(t, kept > lexical && kept > before, qt.IsTrue)
}

// Guards against late requests that take places from requests that can be in time, of whatever rank and workspace.
func TestLateRequestsGetOnePlaceInFour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		var o Order
		var waiting []*Entry
		for range rapid.IntRange(40, 80).Draw(t, "waiting") {
			e := &Entry{
				Class: Class{Rank: rapid.IntRange(0, 2).Draw(t, "rank")}, Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"),
				InTimeUntil: now.Add(time.Second), Arrived: start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "arrived")) * time.Millisecond),
			}
			if rapid.Bool().Draw(t, "late") {
				e.InTimeUntil = now.Add(-time.Millisecond)
			}
			waiting = append(waiting, e)
		}
		running := map[string]int{}
		late, both := 0, 0
		for len(waiting) > 0 {
			lateWaiting := slices.ContainsFunc(waiting, func(e *Entry) bool { return e.Late(now) })
			inTimeWaiting := slices.ContainsFunc(waiting, func(e *Entry) bool { return !e.Late(now) })
			i := o.Next(waiting, func(w string) int { return running[w] }, now)
			if lateWaiting && inTimeWaiting {
				if both++; waiting[i].Late(now) {
					late++
				}
				if late != both/placesPerLate {
					t.Fatalf("%d of %d places went to late requests", late, both)
				}
			}
			o.Take(waiting, i, now)
			o.Serve(waiting[i].Class)
			running[waiting[i].Workspace]++
			waiting = slices.Delete(waiting, i, i+1)
		}
	})
}

// Guards against a caller that comes back at its time and is put behind those that have just arrived.
func TestKeptAppointmentComesBeforeArrival(t *testing.T) {
	early, appointed := &Entry{Arrived: start}, &Entry{Arrived: start.Add(time.Second), Appointed: true}
	idle := func(string) int { return 0 }
	var o Order
	qt.Check(t, o.Next([]*Entry{early, appointed}, idle, start), qt.Equals, 1)
	appointed.Rank = 1
	qt.Check(t, o.Next([]*Entry{early, appointed}, idle, start), qt.Equals, 0, qt.Commentf("rank comes first"))
	busy := func(w string) int { return map[string]int{"heavy": 3, "light": 2}[w] }
	heavy, light := &Entry{Workspace: "heavy", Weight: 2, Arrived: start.Add(time.Second)}, &Entry{Workspace: "light", Arrived: start}
	qt.Check(t, o.Next([]*Entry{light, heavy}, busy, start), qt.Equals, 1, qt.Commentf("1.5 running requests for each unit of weight come before 2"))
}

// Guards against a wait that is predicted too short, because of requests that come first, or too long, because of those that come after.
func TestAheadIsTheNumberOfPlacesGivenBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		var o Order
		var waiting []*Entry
		for i := range rapid.IntRange(1, 30).Draw(t, "waiting") {
			e := &Entry{Class: Class{Rank: rapid.IntRange(0, 2).Draw(t, "rank")}, InTimeUntil: now.Add(time.Second), Arrived: start.Add(time.Duration(i))}
			if rapid.Bool().Draw(t, "late") {
				e.InTimeUntil = start
			}
			waiting = append(waiting, e)
		}
		idle := func(string) int { return 0 }
		e := rapid.SampledFrom(waiting).Draw(t, "entry")
		predicted, given := o.Ahead(waiting, e, idle, now), 0
		for {
			i := o.Next(waiting, idle, now)
			if waiting[i] == e {
				break
			}
			o.Take(waiting, i, now)
			waiting = slices.Delete(waiting, i, i+1)
			given++
		}
		if predicted != given {
			t.Fatalf("%d places given before, %d predicted", given, predicted)
		}
	})
}
