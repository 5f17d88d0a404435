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

func TestEndpointThatAnnouncedItLeavesGetsNoRequests(t *testing.T) {
	f := newFleet()
	f.group("g", "near", endpoint.Open, endpoint.Ready)
	place := f.acquire(t, requirements())
	place.RecordLeaving(time.Now())
	place.Release()
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue, qt.Commentf("%v", err))
}

func TestRestartedEndpointGetsRequestsAfterItLeft(t *testing.T) {
	f := newFleet()
	instance := func(started int64) *endpoint.Endpoint {
		return &endpoint.Endpoint{ID: endpoint.InstanceID("i-1", started), Service: "s"}
	}
	f.directory.Apply([]*endpoint.Endpoint{instance(1)}, nil, time.Now())
	w := &picker.Requirements{Service: "s"}
	f.acquire(t, w).RecordLeaving(time.Now())
	_, err := f.picker.Acquire(context.Background(), w)
	qt.Check(t, errors.Is(err, picker.ErrNoEndpoint), qt.IsTrue, qt.Commentf("%v", err))
	f.directory.Apply([]*endpoint.Endpoint{instance(2)}, nil, time.Now())
	qt.Check(t, f.acquire(t, w).Endpoint.ID, qt.Equals, endpoint.InstanceID("i-1", 2))
}
