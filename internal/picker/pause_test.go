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

func TestEndpointThatAskedForAPauseIsPassedOver(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	asked := f.acquire(t, want())
	asked.AskedToPause(time.Minute, time.Now())
	asked.AskedToPause(time.Second, time.Now()) // the longer one holds on
	asked.Release()
	qt.Check(t, f.picker.Pausing(time.Now()), qt.Equals, 1)
	for range 4 + 2 {
		place, err := f.picker.Acquire(context.Background(), want())
		if err == nil {
			qt.Check(t, place.Group, qt.Not(qt.Equals), asked.Group, qt.Commentf("it is chosen though others are full"))
		}
	}
	f.picker.Sweep(time.Now().Add(2 * time.Minute))
	qt.Check(t, f.picker.Pausing(time.Now()), qt.Equals, 0)
}

func TestRequestIsRefusedAtOnceIfAllEndpointsPauseForLonger(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "far", endpoint.Open, endpoint.Ready)
	for _, pause := range []time.Duration{time.Hour, 2 * time.Hour} {
		place := f.acquire(t, want())
		place.AskedToPause(pause, time.Now())
		place.Release()
	}
	w := want()
	w.Patience = time.Minute // waiting for this would time the test out
	_, err := f.picker.Acquire(context.Background(), w)
	var paused *picker.PausedError
	qt.Assert(t, errors.As(err, &paused), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, paused.Left > 50*time.Minute && paused.Left <= time.Hour, qt.IsTrue, qt.Commentf("%s", paused.Left))
}
