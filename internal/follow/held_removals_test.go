package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
)

func TestEntriesThatExpiredDuringAnOutageMayReappear(t *testing.T) {
	now := time.Unix(1000, 0)
	var a heldRemovals
	gone := infra.Object{Key: "e/1", Version: 9, Deleted: true}
	qt.Check(t, a.hold(gone, now), qt.IsFalse, qt.Commentf("there was no outage"))
	a.start(now)
	qt.Check(t, a.hold(gone, now), qt.IsTrue)
	qt.Check(t, a.hold(infra.Object{Key: "e/2", Version: 9, Deleted: true}, now), qt.IsTrue)
	qt.Check(t, a.due(now.Add(lapseGrace)), qt.HasLen, 0)
	back := infra.Object{Key: "e/2", Version: 11}
	qt.Check(t, a.hold(back, now.Add(time.Second)), qt.IsFalse)
	later := now.Add(lapseGrace + time.Millisecond)
	qt.Check(t, a.due(later), qt.DeepEquals, []infra.Object{gone}, qt.Commentf("one entry reappeared, the other is removed"))
	qt.Check(t, a.due(later), qt.HasLen, 0)
	qt.Check(t, a.hold(gone, later), qt.IsFalse)
}

// The entry of an endpoint that writes it every five seconds may reappear as late as that after the store's recovery.
func TestEntriesOfEndpointsWithALongHeartbeatIntervalMayReappearLater(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, beat := range []time.Duration{1200 * time.Millisecond, 5 * time.Second} {
		a := heldRemovals{beat: beat}
		a.start(now)
		qt.Check(t, a.hold(infra.Object{Key: "e/1", Version: 9, Deleted: true}, now), qt.IsTrue)
		qt.Check(t, a.due(now.Add(beat)), qt.HasLen, 0, qt.Commentf("heartbeat interval %v", beat))
		qt.Check(t, a.hold(infra.Object{Key: "e/1", Version: 11}, now.Add(beat)), qt.IsFalse)
		qt.Check(t, a.due(now.Add(3*beat)), qt.HasLen, 0, qt.Commentf("the entry has reappeared"))
	}
}
