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
	for range busyRequests - 1 {
		qt.Check(t, tr.add(now), qt.IsFalse)
	}
	qt.Check(t, tr.idle(now), qt.IsTrue, qt.Commentf("a few requests do not make the node busy"))
	qt.Check(t, tr.add(now), qt.IsTrue, qt.Commentf("the request that ends the idle period is reported"))
	qt.Check(t, tr.add(now), qt.IsFalse)
	qt.Check(t, tr.idle(now.Add(busyWindow)), qt.IsFalse)
	qt.Check(t, tr.idle(now.Add(busyWindow+1)), qt.IsTrue)
}

func TestBusyNodeIsSettledOnlyAfterTheReportTime(t *testing.T) {
	var tr traffic
	now := time.Unix(1000, 0)
	qt.Check(t, tr.settled(now), qt.IsFalse)
	for range 10 * busyRequests {
		tr.add(now)
		now = now.Add(busyWindow / (2 * busyRequests))
	}
	qt.Check(t, tr.settled(now), qt.IsTrue)
	qt.Check(t, tr.settled(now.Add(2*busyWindow)), qt.IsFalse, qt.Commentf("callers have stopped using the node"))
}
