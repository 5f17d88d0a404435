package follow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// stateOf returns the value of an endpoint's entry in the copy, or "none".
func stateOf(m *mirror.Mirror, name string) string {
	o, there := m.Get(keys.Endpoints + name)
	if !there {
		return "none"
	}
	return string(o.Value)
}

func entry(name, value string, version int64) infra.Object {
	return infra.Object{Key: keys.Endpoints + name, Version: version, Value: []byte(value)}
}

func removal(name string, version int64) infra.Object {
	return infra.Object{Key: keys.Endpoints + name, Version: version, Deleted: true}
}

// olderCounts collects the numbers of older versions that were dropped, by source.
func olderCounts(f *Follower) map[string]int {
	counts := make(map[string]int)
	f.OnOlder = func(source string, n int) { counts[source] += n }
	return counts
}

func TestPullFromANodeWithAnOlderCopyChangesNothing(t *testing.T) {
	older := mirrorPeer{mirror.New()}
	older.put(withMirrorVersion(entry("head", "free", 5)), true)
	older.put(withMirrorVersion(entry("gone", "open", 6)), true)
	older.put(withMirrorVersion(entry("same", "open", 4)), true)
	older.put(withMirrorVersion(removal("back", 7)), true)
	f := newTestFollower(older)
	counts := olderCounts(f)
	f.Mirror.Put(withMirrorVersion(entry("head", "open", 9)), withMirrorVersion(removal("gone", 8)), withMirrorVersion(entry("same", "open", 4)), withMirrorVersion(entry("back", "open", 8)))
	f.applyBeat(context.Background(), fullRelay("x", older.Sequence(), time.Now()))
	qt.Check(t, stateOf(f.Mirror, "head"), qt.Equals, "open")
	qt.Check(t, stateOf(f.Mirror, "gone"), qt.Equals, "none")
	qt.Check(t, stateOf(f.Mirror, "same"), qt.Equals, "open")
	qt.Check(t, stateOf(f.Mirror, "back"), qt.Equals, "open")
	qt.Check(t, counts, qt.DeepEquals, map[string]int{olderFromNode: 3})
}

func TestListOfAnOlderStateChangesNothing(t *testing.T) {
	m := mirror.New()
	m.Put(withMirrorVersion(entry("head", "open", 9)), withMirrorVersion(entry("new", "open", 8)), withMirrorVersion(removal("gone", 7)))
	store := &fakeStore{list: infra.Listing{Version: 6, Objects: []infra.Object{entry("head", "free", 5), entry("gone", "open", 6)}}}
	runSource(t, store, m)
	qt.Check(t, stateOf(m, "head"), qt.Equals, "open")
	qt.Check(t, stateOf(m, "new"), qt.Equals, "open", qt.Commentf("it was written after the state that the list shows"))
	qt.Check(t, stateOf(m, "gone"), qt.Equals, "none")
}

func TestWatchThatRepeatsOlderChangesChangesNothing(t *testing.T) {
	m := mirror.New()
	store := &fakeStore{list: infra.Listing{Version: 5, Objects: []infra.Object{entry("head", "open", 9)}}, watches: []func() (infra.Listing, error){
		func() (infra.Listing, error) {
			return infra.Listing{Version: 8, Objects: []infra.Object{entry("head", "free", 6), removal("head", 7), entry("head", "ready", 8)}}, nil
		},
	}}
	runSource(t, store, m)
	qt.Check(t, stateOf(m, "head"), qt.Equals, "open")
}

func TestRemovalReleasedAfterANewerEntryChangesNothing(t *testing.T) {
	m := mirror.New()
	s := &source{prefix: keys.Endpoints, mirror: m}
	now := time.Now()
	s.held.start(now, storeOutage)
	s.put([]infra.Object{entry("a", "open", 5), entry("b", "open", 6)})
	s.put([]infra.Object{removal("a", 7), removal("b", 7)})
	m.Put(withMirrorVersion(entry("a", "open again", 8))) // from another node
	s.put([]infra.Object{entry("b", "open again", 9)})
	m.Put(s.held.due(now.Add(time.Hour))...)
	qt.Check(t, stateOf(m, "a"), qt.Equals, "open again")
	qt.Check(t, stateOf(m, "b"), qt.Equals, "open again")
}

// Entries may lapse and return one after the other. What returns is as the endpoint has written it last; the others stay until then.
func TestEntriesThatLapseAndReturnInPartsDoNotGoBack(t *testing.T) {
	m := mirror.New()
	s := &source{prefix: keys.Endpoints, mirror: m}
	now := time.Now()
	s.put([]infra.Object{entry("head", "open", 5), entry("member", "ready", 6)})
	s.held.start(now, storeOutage)
	s.put([]infra.Object{removal("head", 7), removal("member", 7)})
	s.put([]infra.Object{entry("member", "free", 9)})
	qt.Check(t, stateOf(m, "head"), qt.Equals, "open")
	qt.Check(t, stateOf(m, "member"), qt.Equals, "free")
	s.put([]infra.Object{entry("head", "open", 10)})
	m.Put(s.held.due(now.Add(time.Hour))...)
	qt.Check(t, stateOf(m, "head"), qt.Equals, "open")
	qt.Check(t, stateOf(m, "member"), qt.Equals, "free")
}

// Guards against endpoints that go back to an earlier state, because another node has listed a store that came back from a copy and had
// nothing to compare it with.
func TestPullOfWhatACopyMayHaveLostIsHeldBack(t *testing.T) {
	other := mirrorPeer{mirror.New()}
	other.put(withMirrorVersion(entry("head", "free", infra.VersionAt(1, 5))), true)
	other.put(withMirrorVersion(entry("same", "open", infra.VersionAt(1, 4))), true)
	other.put(withMirrorVersion(entry("later", "closed", infra.VersionAt(1, 12))), true)
	f := newTestFollower(other)
	f.Mirror.Put(withMirrorVersion(entry("head", "open", 9)), withMirrorVersion(entry("same", "open", 4)), withMirrorVersion(entry("later", "open", 8)), withMirrorVersion(entry("other", "open", 7)))
	now := time.Now()
	f.applyBeat(context.Background(), fullRelay("x", other.Sequence(), now))
	qt.Check(t, stateOf(f.Mirror, "head"), qt.Equals, "open")
	qt.Check(t, stateOf(f.Mirror, "same"), qt.Equals, "open")
	qt.Check(t, stateOf(f.Mirror, "later"), qt.Equals, "closed")
	f.releaseHeld(now.Add(lapseGrace / 2))
	qt.Check(t, stateOf(f.Mirror, "head"), qt.Equals, "open")
	f.releaseHeld(now.Add(time.Minute))
	qt.Check(t, stateOf(f.Mirror, "head"), qt.Equals, "free", qt.Commentf("the endpoint has not written it again: that is what the store has"))

	other.put(withMirrorVersion(entry("head", "joining", infra.VersionAt(1, 20))), true)
	f.applyBeat(context.Background(), fullRelay("x", other.Sequence(), now.Add(time.Minute)))
	qt.Check(t, stateOf(f.Mirror, "head"), qt.Equals, "joining")
}

// Guards against a copy that goes back unnoticed: the store answers from a state that is older than what it has told before.
func TestStoreThatGoesBackIsCountedAndLogged(t *testing.T) {
	m := mirror.New()
	older, lowest := 0, int64(0)
	s := &source{
		prefix: keys.Endpoints, mirror: m, recovery: &recovery{}, objects: &fakeStore{list: infra.Listing{Version: 6, Objects: []infra.Object{entry("head", "free", 5)}}},
		dropped: func(n int) { older += n }, wentBack: func(_ string, to, _ int64) { lowest = to }, newest: 9,
	}
	m.Put(withMirrorVersion(entry("head", "open", 9)))
	_, _, err := s.next(t.Context(), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, older, qt.Equals, 1)
	qt.Check(t, lowest, qt.Equals, int64(6))
	qt.Check(t, stateOf(m, "head"), qt.Equals, "open")
}
