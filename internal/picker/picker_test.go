package picker_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/picker"
)

// fleet is a Picker under test with its directory and the statuses of the other nodes.
type fleet struct {
	directory    *endpoint.Directory
	peers        []*gossip.Peer
	retiring     map[string]bool
	stallReports int // calls of the callback for a group that stalls
	picker       *picker.Picker
}

func newFleet() *fleet { return newFleetWith(nil) }

func newFleetWith(predict picker.Predict) *fleet {
	f := &fleet{directory: endpoint.NewDirectory(time.Second), retiring: map[string]bool{}}
	f.picker = picker.New(picker.Options{
		DataCentre: "near", Directory: f.directory,
		Others: func(time.Time) *gossip.Totals {
			total := gossip.NewTotals()
			for _, p := range f.peers {
				total.Add(&p.Status)
			}
			return total
		},
		Retiring: func(time.Time) map[string]bool { return f.retiring },
		OnStall:  func() { f.stallReports++ },
		Predict:  predict,
	})
	return f
}

// group lists a group of two members, in the given states, in a data centre.
func (f *fleet) group(name, dataCentre string, head, other endpoint.State) {
	var members []*endpoint.Endpoint
	for rank, state := range []endpoint.State{head, other} {
		members = append(members, &endpoint.Endpoint{
			ID: fmt.Sprintf("%s-%d", name, rank), Service: "lm", DataCentre: dataCentre, Models: []string{"m"},
			Membership: &endpoint.Membership{Group: name, Epoch: 1, Rank: rank, State: state},
		})
	}
	f.directory.Apply(members, nil, time.Now())
}

func requirements() *picker.Requirements {
	return &picker.Requirements{Service: "lm", Model: "m", Slots: 4, Size: 2}
}

func (f *fleet) acquire(t *testing.T, w *picker.Requirements) *picker.Place {
	t.Helper()
	place, err := f.picker.Acquire(context.Background(), w)
	qt.Assert(t, err, qt.IsNil)
	return place
}

func TestOnlyCompleteOpenGroupsServe(t *testing.T) {
	f := newFleet()
	f.group("joining", "near", endpoint.Open, endpoint.Joining)
	f.group("ready", "near", endpoint.Ready, endpoint.Ready)
	f.group("closing", "near", endpoint.Closing, endpoint.Ready)
	f.group("broken", "near", endpoint.Broken, endpoint.Ready)
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue, qt.Commentf("%v", err))
	f.group("open", "far", endpoint.Open, endpoint.Ready)
	qt.Check(t, f.acquire(t, requirements()).Endpoint.ID, qt.Equals, "open-0", qt.Commentf("requests go to the head"))
}

func TestCompleteGroupKeepsServingWhileAMemberIsNotListed(t *testing.T) {
	f := newFleet()
	f.group("g", "near", endpoint.Open, endpoint.Ready)
	f.acquire(t, requirements())
	f.directory.Apply(nil, []string{"g-1"}, time.Now())
	qt.Check(t, f.acquire(t, requirements()).Group, qt.Equals, "g")
	f.directory.Apply(nil, []string{"g-0"}, time.Now())
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue, qt.Commentf("a group without its head does not serve"))
}

func TestDrainingHeadGetsNoRequests(t *testing.T) {
	f := newFleet()
	f.group("g", "near", endpoint.Open, endpoint.Ready)
	head := *f.directory.Read().Endpoints["g-0"]
	head.Draining = true
	f.directory.Apply([]*endpoint.Endpoint{&head}, nil, time.Now())
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue)
}

func TestRetiringGroupGetsNoRequests(t *testing.T) {
	f := newFleet()
	f.group("g", "near", endpoint.Open, endpoint.Ready)
	f.retiring["g"] = true
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue)
}

func TestOwnDataCentreIsPreferredUntilItIsBusier(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	dataCentres := map[string]int{}
	for range 8 {
		dataCentres[f.acquire(t, requirements()).Endpoint.DataCentre]++
	}
	qt.Check(t, dataCentres, qt.DeepEquals, map[string]int{"near": 4, "far": 4}, qt.Commentf("both groups are filled"))
	first := newFleet()
	first.group("a", "near", endpoint.Open, endpoint.Ready)
	first.group("b", "far", endpoint.Open, endpoint.Ready)
	for range 2 {
		qt.Check(t, first.acquire(t, requirements()).Group, qt.Equals, "a")
	}
}

func TestLoadsOfOtherNodesCount(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	f.peers = []*gossip.Peer{{Status: gossip.Status{Loads: gossip.Loads{gossip.KeyOf("a-0"): 4}}}}
	qt.Check(t, f.acquire(t, requirements()).Group, qt.Equals, "b")
}

func TestFullGroupsQueueAFewRequestsAndThenNoMore(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	w := requirements()
	w.MaxWait = time.Millisecond
	n := 0
	for {
		_, err := f.picker.Acquire(context.Background(), w)
		if err != nil {
			qt.Check(t, errors.Is(err, picker.ErrNoPlace), qt.IsTrue)
			break
		}
		n++
	}
	qt.Check(t, n > 4 && n <= 12, qt.IsTrue, qt.Commentf("%d requests taken", n))
}

func TestReleasedPlaceGoesToTheMostUrgentWaiter(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	var held []*picker.Place
	for range 4 {
		held = append(held, f.acquire(t, requirements()))
	}
	got := make(chan int, 2)
	started := make(chan bool, 2)
	for _, priority := range []int{5, 1} {
		go func() {
			w := requirements()
			w.Priority, w.MaxWait = priority, time.Minute
			started <- true
			if _, err := f.picker.Acquire(context.Background(), w); err == nil {
				got <- priority
			}
		}()
	}
	<-started
	<-started
	for waiting(f) < 2 {
		time.Sleep(time.Millisecond)
	}
	held[0].Release()
	qt.Check(t, <-got, qt.Equals, 1)
	held[0].Release() // a second release has no effect
	held[1].Release()
	qt.Check(t, <-got, qt.Equals, 5)
}

// waiting returns the number of waiting requests that the picker reports to the other nodes.
func waiting(f *fleet) int {
	var s gossip.Status
	f.picker.Report(&s, time.Now())
	return s.Demands["m"].Waiting
}

func TestStalledGroupIsAvoidedUntilAnEventArrives(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	place := f.acquire(t, requirements())
	qt.Assert(t, place.Group, qt.Equals, "a")
	place.RecordStall(time.Now())
	qt.Check(t, f.acquire(t, requirements()).Group, qt.Equals, "b")
	var s gossip.Status
	f.picker.Report(&s, time.Now())
	_, reported := s.Suspects["a"]
	qt.Check(t, reported, qt.IsTrue)
	place.RecordEvent(time.Millisecond, time.Now())
	qt.Check(t, f.acquire(t, requirements()).Group, qt.Equals, "a")
}

func TestFirstEventTimeoutCountsFromTheGroupsLastEvent(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	waits, runs := f.acquire(t, requirements()), f.acquire(t, requirements())
	sent := time.Now()
	_, before := waits.StallDeadlines(sent, false)
	runs.RecordEvent(20*time.Millisecond, sent.Add(500*time.Millisecond))
	suspectAt, timeoutAt := waits.StallDeadlines(sent, false)
	qt.Check(t, timeoutAt.After(before), qt.IsTrue, qt.Commentf("an event of another stream extends the deadline while the prompt waits to be read"))
	qt.Check(t, suspectAt.Before(timeoutAt), qt.IsTrue, qt.Commentf("a group is suspected before its stream times out"))
	suspectAt, timeoutAt = waits.StallDeadlines(sent, true)
	qt.Check(t, timeoutAt.Before(before), qt.IsTrue, qt.Commentf("after the first event the timeout is shorter"))
	qt.Check(t, suspectAt.Before(timeoutAt), qt.IsTrue)
}

func TestStandaloneEndpoints(t *testing.T) {
	f := newFleet()
	f.directory.Apply([]*endpoint.Endpoint{
		{ID: "good", Service: "plain", DataCentre: "far"}, {ID: "bad", Service: "plain", DataCentre: "near"},
		{ID: "leaving", Service: "plain", DataCentre: "near", Draining: true},
	}, nil, time.Now())
	w := &picker.Requirements{Service: "plain", Exclude: nil}
	first := f.acquire(t, w)
	qt.Check(t, first.Endpoint.ID, qt.Equals, "bad")
	for range 10 {
		first.RecordFailure(false, time.Now())
	}
	qt.Check(t, f.acquire(t, w).Endpoint.ID, qt.Equals, "good", qt.Commentf("the other endpoint has failed too often"))
	qt.Check(t, f.acquire(t, &picker.Requirements{Service: "plain", Exclude: []string{"good"}}).Endpoint.ID, qt.Equals, "bad")
}

func TestStalledGroupIsReportedOnce(t *testing.T) {
	f := newFleet()
	f.group("g", "near", endpoint.Open, endpoint.Ready)
	place := f.acquire(t, requirements())
	now := time.Now()
	place.RecordStall(now)
	place.RecordStall(now.Add(time.Millisecond))
	qt.Check(t, f.stallReports, qt.Equals, 1)
	place.RecordEvent(time.Millisecond, now.Add(2*time.Millisecond))
	place.RecordStall(now.Add(time.Second))
	qt.Check(t, f.stallReports, qt.Equals, 2, qt.Commentf("an event arrived between the two stalls"))
}

func TestNothingIsSentToADataCentreThatIsOutOfUse(t *testing.T) {
	f := newFleet()
	f.group("g-near", "near", endpoint.Open, endpoint.Ready)
	f.group("g-far", "far", endpoint.Open, endpoint.Ready)
	f.directory.Apply([]*endpoint.Endpoint{{ID: "p-near", Service: "plain", DataCentre: "near"}}, nil, time.Now())
	f.directory.Evacuate(map[string]bool{"near": true}, time.Now())
	f.directory.Apply([]*endpoint.Endpoint{{ID: "p-far", Service: "plain", DataCentre: "far"}}, nil, time.Now())
	for range 8 {
		engine, plain := f.acquire(t, requirements()), f.acquire(t, &picker.Requirements{Service: "plain"})
		qt.Check(t, engine.Group, qt.Equals, "g-far")
		qt.Check(t, plain.Endpoint.ID, qt.Equals, "p-far")
		engine.Release()
		plain.Release()
	}
	f.directory.Evacuate(nil, time.Now())
	groups := make(map[string]bool)
	for range 8 {
		groups[f.acquire(t, requirements()).Group] = true
	}
	qt.Check(t, groups["g-near"], qt.IsTrue, qt.Commentf("the data centre is back in use"))
}

func TestColdEndpointsGetFewRequestsAtOnce(t *testing.T) {
	const perSecond = 8
	cold := &picker.Requirements{Service: "plain", ColdPerSecond: perSecond, ColdFor: time.Hour}
	taken := func(f *fleet) int {
		for n := range 10 {
			if _, err := f.picker.Acquire(context.Background(), cold); err != nil {
				return n
			}
		}
		return 10
	}
	f := newFleet()
	f.directory.Apply([]*endpoint.Endpoint{{ID: "p", Service: "plain", DataCentre: "near", ColdLeft: time.Hour}}, nil, time.Now())
	qt.Check(t, taken(f), qt.Equals, perSecond/4, qt.Commentf("the endpoint is listed as cold"))
	f = newFleet()
	f.directory.Apply([]*endpoint.Endpoint{{ID: "p", Service: "plain", DataCentre: "near"}}, nil, time.Now())
	qt.Check(t, taken(f), qt.Equals, 10)
	f = newFleet()
	f.directory.Apply([]*endpoint.Endpoint{{ID: "p", Service: "plain", DataCentre: "near"}}, nil, time.Now())
	f.directory.Evacuate(map[string]bool{"near": true}, time.Now())
	qt.Check(t, taken(f), qt.Equals, 0)
	f.directory.Evacuate(nil, time.Now())
	qt.Check(t, taken(f), qt.Equals, perSecond/4, qt.Commentf("the data centre has just been taken back into use"))
}
