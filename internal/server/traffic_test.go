package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestNodeIsIdleUntilCallersUseIt(t *testing.T) {
	var tr traffic
	now := time.Unix(1000, 0)
	qt.Check(t, tr.idle(now), qt.IsTrue)
	for range busyFrom - 1 {
		qt.Check(t, tr.add(now), qt.IsFalse)
	}
	qt.Check(t, tr.idle(now), qt.IsTrue, qt.Commentf("some requests that came astray"))
	qt.Check(t, tr.add(now), qt.IsTrue, qt.Commentf("the request that ends it is told"))
	qt.Check(t, tr.add(now), qt.IsFalse)
	qt.Check(t, tr.idle(now.Add(busyWindow)), qt.IsFalse)
	qt.Check(t, tr.idle(now.Add(busyWindow+1)), qt.IsTrue)
}

func TestNodeIsKnownToHaveRequestsAfterAWhile(t *testing.T) {
	var t0 traffic
	now := time.Unix(1000, 0)
	qt.Check(t, t0.settled(now), qt.IsFalse)
	for range 10 * busyFrom {
		t0.add(now)
		now = now.Add(busyWindow / (2 * busyFrom))
	}
	qt.Check(t, t0.settled(now), qt.IsTrue)
	qt.Check(t, t0.settled(now.Add(2*busyWindow)), qt.IsFalse, qt.Commentf("callers have left"))
}
