package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
)

// Guards against an overload that the log does not show, or shows once for each refused request.
func TestOverloadIsLoggedWhenItBeginsAndEnds(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	g := New(Options{Picker: picker.New(picker.Options{}), Logger: log.NewLogfmtLogger(&out), Scope: scope})
	now := clock.Now()
	for range 3 {
		g.recordOverload(servedModel{"s", "m"}, time.Second, now)
	}
	g.Sweep(now.Add(time.Second))
	qt.Check(t, strings.Count(out.String(), "begins"), qt.Equals, 1)
	qt.Check(t, strings.Count(out.String(), "ends"), qt.Equals, 0)
	g.Sweep(now.Add(2 * time.Second))
	g.Sweep(now.Add(3 * time.Second))
	qt.Check(t, strings.Count(out.String(), "ends"), qt.Equals, 1)
	qt.Check(t, out.String(), qt.Contains, "refused=3 ms=2000")
}

// Guards against refusals whose kind and reason cannot be told from the metrics.
func TestPlacesAreCountedByKindAndReason(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	m.recordPlace("notes", nil)
	m.recordPlace("notes", picker.ErrNoPlace)
	m.recordPlace("notes", &heldError{time.Second})
	counters := scope.Snapshot().Counters()
	for _, key := range []string{"places_admitted+kind=notes", "places_refused+kind=notes,reason=no-place", "places_refused+kind=notes,reason=held-back"} {
		qt.Assert(t, counters[key], qt.IsNotNil, qt.Commentf("%s", key))
		qt.Check(t, counters[key].Value(), qt.Equals, int64(1))
	}
}
