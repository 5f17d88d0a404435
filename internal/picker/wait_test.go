package picker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/picker"
)

// fullFleet returns a fleet with one group whose places and queue are in use, at a node where 20 places have just become free.
func fullFleet(t *testing.T) (*fleet, []*picker.Place) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.useTwenty(t)
	var held []*picker.Place
	for range 4 {
		held = append(held, f.acquire(t, requirements()))
	}
	f.peers = []*gossip.Peer{{Status: gossip.Status{Loads: gossip.Loads{gossip.KeyOf("a-0"): 2}}}}
	return f, held
}

// Guards against callers that wait for a place which cannot become free in time, instead of coming back when one is expected.
func TestRequestWhoseTurnIsTooLateIsRefusedAtOnce(t *testing.T) {
	f, _ := fullFleet(t)
	first := requirements()
	first.MaxWait, first.InTimeWait = time.Minute, time.Minute
	acquireAsync(f, first, 1)
	w := requirements()
	w.MaxWait, w.InTimeWait = time.Minute, 10*time.Millisecond // a place becomes free every 100 ms
	began := time.Now()
	_, err := f.picker.Acquire(context.Background(), w)
	qt.Check(t, errors.Is(err, picker.ErrNoPlace), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("it did not wait for MaxWait"))
	qt.Check(t, waiting(f), qt.Equals, 1)
}

// Guards against requests that are refused although their turn comes in time.
func TestRequestWhoseTurnIsInTimeWaits(t *testing.T) {
	f, held := fullFleet(t)
	w := requirements()
	w.MaxWait, w.InTimeWait = time.Millisecond, time.Minute
	got := acquireAsync(f, w, 1)
	time.Sleep(10 * time.Millisecond)
	qt.Check(t, waiting(f), qt.Equals, 1, qt.Commentf("it waits beyond MaxWait"))
	for _, place := range held { // the other nodes keep two places
		place.Release()
	}
	qt.Check(t, (<-got).Group, qt.Equals, "a")
}

// Guards against a request that waits at its node until it is late, while a place in the queue of a full group is free.
func TestFirstWaiterUsesTheQueueOfAFullGroup(t *testing.T) {
	f, _ := fullFleet(t)
	f.peers = nil
	w := requirements()
	w.MaxWait, w.InTimeWait = time.Millisecond, time.Minute
	began := time.Now()
	qt.Check(t, f.acquire(t, w).Group, qt.Equals, "a")
	qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue)
}

// Guards against refusals while places are free: by a prediction, and when a place becomes free unnoticed during the wait.
func TestNoRefusalWhilePlacesAreFree(t *testing.T) {
	f, held := fullFleet(t)
	held[0].Release()
	f.peers = nil
	w := requirements()
	w.MaxWait, w.InTimeWait = time.Minute, 1
	f.acquire(t, w)
	f.peers = []*gossip.Peer{{Status: gossip.Status{Loads: gossip.Loads{gossip.KeyOf("a-0"): 2}}}}
	w = requirements()
	w.MaxWait, w.InTimeWait = time.Minute, 400*time.Millisecond
	first := acquireAsync(f, w, 1)
	held[1].Release() // the other nodes' requests still fill the group
	qt.Check(t, len(first), qt.Equals, 0)
	f.group("b", "near", endpoint.Open, endpoint.Ready) // the picker is not told
	qt.Check(t, (<-first).Group, qt.Equals, "b")
}

// Guards against a rank that never gets a place because its turn always comes after that of more urgent requests.
func TestRequestOfAStarvingClassWaitsAlthoughLate(t *testing.T) {
	f, held := fullFleet(t)
	w := requirements()
	w.Priority, w.MaxWait, w.InTimeWait, w.LateWait = 2, time.Minute, time.Millisecond, time.Minute
	for range 4 { // at the fifth, a quarter of the average share is one request
		_, err := f.picker.Acquire(context.Background(), w)
		qt.Assert(t, errors.Is(err, picker.ErrNoPlace), qt.IsTrue, qt.Commentf("%v", err))
	}
	got := acquireAsync(f, w, 1)
	time.Sleep(10 * time.Millisecond)
	qt.Check(t, waiting(f), qt.Equals, 1, qt.Commentf("it waits beyond InTimeWait"))
	for _, place := range held { // the other nodes keep two places
		place.Release()
	}
	<-got
}
