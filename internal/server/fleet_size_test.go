package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that divides the slack among the few nodes that it has heard since its start.
func TestFleetSizeIsUnknownUntilTheFleetIsListed(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleetSize(now)
	qt.Check(t, f.value(now), qt.Equals, 0)
	f.observe(3, false, now)
	qt.Check(t, f.value(now), qt.Equals, 0, qt.Commentf("three nodes are heard so far"))
	f.observe(2, true, now)
	qt.Check(t, f.value(now), qt.Equals, 3)
}

// Guards against a node that is cut off and divides the slack among those that it still hears.
func TestFleetSizeFallsOnlyAfterItsMemory(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newFleetSize(start)
	f.observe(7, true, start)
	for now := start; now.Sub(start) <= fleetSizeMemory; now = now.Add(time.Second) {
		f.observe(1, false, now)
		qt.Assert(t, f.value(now), qt.Equals, 7, qt.Commentf("after %v", now.Sub(start)))
	}
	later := start.Add(2 * fleetSizeMemory)
	f.observe(1, false, later)
	qt.Check(t, f.value(later), qt.Equals, 1)
	f.observe(9, false, later)
	qt.Check(t, f.value(later), qt.Equals, 9)
}
