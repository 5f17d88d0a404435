package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
)

func TestEntriesThatLapsedWhileTheStoreWasAwayMayComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var a absentees
	gone := infra.Object{Key: "e/1", Version: 9, Deleted: true}
	qt.Check(t, a.holds(gone, now), qt.IsFalse, qt.Commentf("the store was not away"))
	a.wait(now)
	qt.Check(t, a.holds(gone, now), qt.IsTrue)
	qt.Check(t, a.holds(infra.Object{Key: "e/2", Version: 9, Deleted: true}, now), qt.IsTrue)
	qt.Check(t, a.due(now.Add(lapseGrace)), qt.HasLen, 0)
	back := infra.Object{Key: "e/2", Version: 11}
	qt.Check(t, a.holds(back, now.Add(time.Second)), qt.IsFalse)
	later := now.Add(lapseGrace + time.Millisecond)
	qt.Check(t, a.due(later), qt.DeepEquals, []infra.Object{gone}, qt.Commentf("one came back, the other is gone"))
	qt.Check(t, a.due(later), qt.HasLen, 0)
	qt.Check(t, a.holds(gone, later), qt.IsFalse)
}

// An endpoint that writes each five seconds may have its entry back so long after the store is.
func TestEntriesOfEndpointsThatWriteSeldomMayComeBackLater(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, beat := range []time.Duration{1200 * time.Millisecond, 5 * time.Second} {
		a := absentees{beat: beat}
		a.wait(now)
		qt.Check(t, a.holds(infra.Object{Key: "e/1", Version: 9, Deleted: true}, now), qt.IsTrue)
		qt.Check(t, a.due(now.Add(beat)), qt.HasLen, 0, qt.Commentf("%v", beat))
		qt.Check(t, a.holds(infra.Object{Key: "e/1", Version: 11}, now.Add(beat)), qt.IsFalse)
		qt.Check(t, a.due(now.Add(3*beat)), qt.HasLen, 0, qt.Commentf("it is back"))
	}
}
