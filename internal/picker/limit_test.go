package picker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/ratelimit"
)

func TestRequestOverAnEndpointsLimitGoesToTheNextBest(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "near", endpoint.Open, endpoint.Ready)
	limited := f.acquire(t, requirements())
	limited.RecordLimit(ratelimit.Limit{PerSecond: 0.1, Named: true}, time.Now(), time.Now())
	for range 4 + 2 { // the slots and the queue of the other group
		qt.Check(t, f.acquire(t, requirements()).Group, qt.Not(qt.Equals), limited.Group)
	}
	_, err := f.picker.Acquire(context.Background(), requirements())
	qt.Check(t, errors.Is(err, picker.ErrNoPlace), qt.IsTrue, qt.Commentf("%v", err))
}
