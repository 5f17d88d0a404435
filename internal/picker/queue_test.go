package picker_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/picker"
)

// acquireAsync starts to acquire a place, waits until n requests wait, and returns the channel on which the place arrives.
func acquireAsync(f *fleet, w *picker.Requirements, n int) <-chan *picker.Place {
	got := make(chan *picker.Place, 1)
	go func() {
		if place, err := f.picker.Acquire(context.Background(), w); err == nil {
			got <- place
		}
	}()
	for waiting(f) < n {
		time.Sleep(time.Millisecond)
	}
	return got
}

// Guards against a request that has failed at a group and so, first in the order, keeps others from the group's free places.
func TestExcludedGroupsPlaceGoesToTheNextWaiter(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	var held []*picker.Place
	for range 4 {
		held = append(held, f.acquire(t, requirements()))
	}
	first := requirements()
	first.MaxWait, first.Exclude = time.Minute, []string{"a"}
	none := acquireAsync(f, first, 1)
	second := requirements()
	second.MaxWait, second.Priority = time.Minute, 1
	got := acquireAsync(f, second, 2)
	held[0].Release()
	qt.Check(t, (<-got).Group, qt.Equals, "a")
	qt.Check(t, len(none), qt.Equals, 0)
}

// Guards against a place that goes to a request too late for its objective while another could still meet it.
func TestPlaceGoesToARequestThatCanBeInTime(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	var held []*picker.Place
	for range 4 {
		held = append(held, f.acquire(t, requirements()))
	}
	late := requirements()
	late.MaxWait, late.InTimeWait = time.Minute, time.Millisecond
	lateGot := acquireAsync(f, late, 1)
	inTime := requirements()
	inTime.MaxWait, inTime.InTimeWait, inTime.Priority = time.Minute, time.Minute, 1
	got := acquireAsync(f, inTime, 2)
	time.Sleep(5 * time.Millisecond)
	held[0].Release()
	<-got
	qt.Check(t, len(lateGot), qt.Equals, 0)
	held[1].Release()
	<-lateGot
}

// Guards against refused callers that are told the same time, and against a returning caller that the picker does not recognise.
func TestRefusedCallersGetAppointments(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	now := time.Now()
	_, known := f.picker.Appoint(requirements(), 1, now.Add(time.Minute), now)
	qt.Check(t, known, qt.IsFalse, qt.Commentf("no place has come free"))
	for range 20 {
		f.acquire(t, requirements()).Release()
	}
	now = time.Now()
	first, known := f.picker.Appoint(requirements(), 1, now.Add(time.Minute), now)
	qt.Check(t, known, qt.IsTrue)
	second, _ := f.picker.Appoint(requirements(), 2, now.Add(time.Minute), now)
	qt.Check(t, second > first, qt.IsTrue, qt.Commentf("%s and %s", first, second))
	qt.Check(t, f.picker.KeepAppointment(requirements(), 1, now), qt.IsFalse)
	qt.Check(t, f.picker.KeepAppointment(requirements(), 1, now.Add(first)), qt.IsTrue)
}

// Guards against appointments that count on the places of an endpoint that refuses its requests because it is full.
func TestPlacesThatDidNotRunAreNoReleases(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	for range 20 {
		place := f.acquire(t, requirements())
		place.RecordNotRun()
		place.Release()
	}
	now := time.Now()
	_, known := f.picker.Appoint(requirements(), 1, now.Add(time.Minute), now)
	qt.Check(t, known, qt.IsFalse)
}
