package picker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/picker"
)

func TestPausedEndpointIsNotChosen(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	asked := f.acquire(t, requirements())
	asked.RecordPause(time.Minute, time.Now())
	asked.RecordPause(time.Second, time.Now()) // does not shorten the longer pause
	asked.Release()
	qt.Check(t, f.picker.Pausing(time.Now()), qt.Equals, 1)
	for range 4 + 2 {
		place, err := f.picker.Acquire(context.Background(), requirements())
		if err == nil {
			qt.Check(t, place.Group, qt.Not(qt.Equals), asked.Group, qt.Commentf("a paused group is not chosen even if the others are full"))
		}
	}
	f.picker.Sweep(time.Now().Add(2 * time.Minute))
	qt.Check(t, f.picker.Pausing(time.Now()), qt.Equals, 0)
}

func TestRequestIsRefusedAtOnceIfAllPausesOutlastItsWait(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	for _, pause := range []time.Duration{time.Hour, 2 * time.Hour} {
		place := f.acquire(t, requirements())
		place.RecordPause(pause, time.Now())
		place.Release()
	}
	w := requirements()
	w.MaxWait = time.Minute // longer than the test may take, so it fails if the request waits
	_, err := f.picker.Acquire(context.Background(), w)
	var paused *picker.PausedError
	qt.Assert(t, errors.As(err, &paused), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, paused.Remaining > 50*time.Minute && paused.Remaining <= time.Hour, qt.IsTrue, qt.Commentf("%s", paused.Remaining))
}
