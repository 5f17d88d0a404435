package picker_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/picker"
)

// besideRequirements are those of another attempt beside one at the given group.
func besideRequirements(group string) *picker.Requirements {
	w := requirements()
	w.SkipStalled, w.Exclude = true, []string{group}
	return w
}

// Guards against attempts at groups that have stalled too, or that were silent together with the one of the first attempt and go on a
// moment before it.
func TestStalledGroupsTakeNoSecondAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.group("a", "near", endpoint.Open, endpoint.Ready)
		f.group("b", "near", endpoint.Open, endpoint.Ready)
		first := f.acquire(t, requirements())
		other := f.picker.AcquireBeside(besideRequirements(first.Group), false)
		qt.Assert(t, other, qt.IsNotNil)
		other.RecordStall(time.Now())
		other.Release()
		qt.Check(t, f.picker.AcquireBeside(besideRequirements(first.Group), true), qt.IsNil)
		other.RecordEvent(time.Millisecond, time.Now())
		qt.Check(t, f.picker.AcquireBeside(besideRequirements(first.Group), false), qt.IsNil, qt.Commentf("the group has only just gone on"))
		time.Sleep(300 * time.Millisecond)
		qt.Check(t, f.picker.AcquireBeside(besideRequirements(first.Group), false), qt.IsNotNil, qt.Commentf("the group has gone on"))
	})
}

// Guards against second attempts that never get a place, or pass by waiting requests, where the groups are full.
func TestSecondAttemptTakesAPlaceInAQueueOnlyWhenAsked(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	for range 4 {
		f.acquire(t, requirements())
	}
	qt.Check(t, f.picker.AcquireBeside(besideRequirements("silent"), false), qt.IsNil)
	for range 2 {
		qt.Check(t, f.picker.AcquireBeside(besideRequirements("silent"), true), qt.IsNotNil)
	}
	qt.Check(t, f.picker.AcquireBeside(besideRequirements("silent"), true), qt.IsNil, qt.Commentf("the queue is full as well"))
}
