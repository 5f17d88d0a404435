package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

func TestEntriesThatExpiredDuringAnOutageMayReappear(t *testing.T) {
	now := time.Unix(1000, 0)
	var a heldChanges
	gone := infra.Object{Key: "e/1", Version: 9, Deleted: true}
	qt.Check(t, a.hold(gone, now), qt.IsFalse, qt.Commentf("there was no outage"))
	a.start(now, storeOutage)
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
		a := heldChanges{beat: beat}
		a.start(now, storeOutage)
		qt.Check(t, a.hold(infra.Object{Key: "e/1", Version: 9, Deleted: true}, now), qt.IsTrue)
		qt.Check(t, a.due(now.Add(beat)), qt.HasLen, 0, qt.Commentf("heartbeat interval %v", beat))
		qt.Check(t, a.hold(infra.Object{Key: "e/1", Version: 11}, now.Add(beat)), qt.IsFalse)
		qt.Check(t, a.due(now.Add(3*beat)), qt.HasLen, 0, qt.Commentf("the entry has reappeared"))
	}
}

// Guards against endpoints that go back to an earlier state, and configurations that are lost, while a store that came back from a
// copy does not hold its last writes again yet.
func TestWhatACopyMayHaveLostIsHeldBack(t *testing.T) {
	const revision = 20
	put := func(m *mirror.Mirror, name, value string, era, revision int64) infra.Object {
		o := infra.Object{Key: keys.Endpoints + name, Version: infra.VersionAt(era, revision), Value: []byte(value)}
		m.Put(withMirrorVersion(o))
		return o
	}
	m := mirror.New()
	same := put(m, "same", "1", 0, revision)
	put(m, "older", "new", 0, revision)
	put(m, "rewritten", "before", 0, revision)
	put(m, "missing", "1", 0, revision)
	same.Version = infra.VersionAt(1, revision)
	f := &fakeStore{list: infra.Listing{Version: infra.VersionAt(1, revision+2), Objects: []infra.Object{
		same,
		{Key: keys.Endpoints + "older", Version: infra.VersionAt(1, revision-5), Value: []byte("old")},
		{Key: keys.Endpoints + "rewritten", Version: infra.VersionAt(1, revision+1), Value: []byte("after")},
	}}}
	runSource(t, f, m)
	for name, want := range map[string]string{"same": "1", "older": "new", "rewritten": "after", "missing": "1"} {
		o, there := m.Get(keys.Endpoints + name)
		qt.Check(t, there, qt.IsTrue, qt.Commentf(name))
		qt.Check(t, string(o.Value), qt.Equals, want, qt.Commentf(name))
	}
}

// Guards against keeping for good what the store has lost.
func TestHeldChangesOfACopyCountInTheEnd(t *testing.T) {
	var a heldChanges
	now := time.Unix(1000, 0)
	a.start(now, storeOutage)
	a.add(infra.Object{Key: "a", Version: 1})
	a.add(infra.Object{Key: "b", Version: 1})
	qt.Check(t, a.hold(infra.Object{Key: "b", Version: 2}, now), qt.IsFalse, qt.Commentf("written again"))
	qt.Check(t, a.due(now.Add(lapseGrace)), qt.HasLen, 0)
	due := a.due(now.Add(lapseGrace + time.Millisecond))
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Check(t, due[0].Key, qt.Equals, "a")
}

// Guards against removals that are held back unnoticed.
func TestHeldChangesAreReportedAtTheirStartAndEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	var starts []holdStart
	var ends []holdEnd
	a := heldChanges{onHold: func(h holdStart) { starts = append(starts, h) }, onEnd: func(h holdEnd) { ends = append(ends, h) }}
	a.start(now, storeOutage)
	for _, key := range []string{"e/1", "e/2", "e/1"} {
		a.hold(infra.Object{Key: key, Version: 9, Deleted: true}, now)
	}
	a.hold(infra.Object{Key: "e/2", Version: 11}, now.Add(time.Second))
	later := now.Add(lapseGrace + time.Millisecond)
	a.due(later)
	a.due(later)
	qt.Assert(t, starts, qt.HasLen, 1)
	qt.Check(t, starts[0], qt.Equals, holdStart{storeOutage, "e/1", lapseGrace})
	qt.Assert(t, ends, qt.HasLen, 1)
	qt.Check(t, ends[0], qt.Equals, holdEnd{held: lapseGrace + time.Millisecond, applied: 1, dropped: 1})
}
