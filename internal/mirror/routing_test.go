package mirror

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
)

// routingPages returns the objects that a node that only routes receives in pages of one object, and the sequence reached.
func routingPages(m *Mirror, since uint64) (out []infra.Object, reached uint64) {
	for {
		page, next := m.RoutingPage(since, 1)
		out = append(out, page...)
		if next == since {
			return out, next
		}
		since = next
	}
}

func object(key string, version int64) infra.Object {
	return infra.Object{Key: key, Version: version, Value: []byte(`{"a":1}`)}
}

func TestNodesThatOnlyRouteGetOnlyWhatTheyNeed(t *testing.T) {
	m := New()
	head, member := object("head", 1), object("member", 2)
	m.Put(head, member)
	m.Mark(head, true)
	m.Mark(member, false)
	got, reached := routingPages(m, 0)
	qt.Check(t, got, qt.DeepEquals, []infra.Object{head})
	qt.Check(t, reached, qt.Equals, uint64(2))
	qt.Check(t, m.RoutingSequence(), qt.Equals, uint64(1))

	changed := object("member", 3)
	m.Put(changed)
	m.Mark(changed, false)
	got, reached = routingPages(m, reached)
	qt.Check(t, got, qt.HasLen, 0, qt.Commentf("changes of a member are not needed for routing"))
	qt.Check(t, m.RoutingSequence(), qt.Equals, uint64(1))

	demoted := object("head", 4)
	m.Put(demoted)
	m.Mark(demoted, false)
	got, _ = routingPages(m, reached)
	qt.Check(t, got, qt.DeepEquals, []infra.Object{{Key: "head", Version: 3, Deleted: true}}, qt.Commentf("an object that is no longer needed is returned as removed"))
	qt.Check(t, m.RoutingSequence(), qt.Equals, uint64(4))
}

// Whether a change is needed for routing is known only once it has been marked. Until then neither it nor a later change is
// returned, and a routing copy without it does not count as current.
func TestRoutingPageStopsAtAnUnmarkedChange(t *testing.T) {
	m := New()
	unmarkedObject, head := object("unread", 1), object("head", 2)
	m.Put(unmarkedObject, head)
	m.Mark(head, true)
	got, reached := routingPages(m, 0)
	qt.Check(t, got, qt.HasLen, 0)
	qt.Check(t, reached, qt.Equals, uint64(0))
	qt.Check(t, m.RoutingSequence(), qt.Equals, uint64(2), qt.Commentf("the unmarked object may be needed"))
	m.Mark(unmarkedObject, false)
	got, reached = routingPages(m, 0)
	qt.Check(t, got, qt.DeepEquals, []infra.Object{head})
	qt.Check(t, reached, qt.Equals, uint64(2))
}

func TestForgottenObjectMayBeStoredAgain(t *testing.T) {
	m := New()
	o := object("e", 7)
	m.Put(o)
	m.Forget("", func(infra.Object) bool { return true })
	_, there := m.Get("e")
	qt.Check(t, there, qt.IsFalse)
	qt.Check(t, m.Put(object("e", 6)), qt.IsFalse, qt.Commentf("an earlier version is not stored"))
	qt.Check(t, m.Put(o), qt.IsTrue)
}

func TestWaitersAreNotifiedOncePerPut(t *testing.T) {
	m := New()
	before := m.Changed()
	m.Put(object("a", 1), object("b", 2))
	<-before
	qt.Check(t, m.Sequence(), qt.Equals, uint64(2))
	after := m.Changed()
	m.Put(object("a", 1))
	select {
	case <-after:
		t.Error("notified without a change")
	default:
	}
}

// Changes after a sequence are found without scanning the others.
func TestSinceDoesNotScanOtherChanges(t *testing.T) {
	allocations := func(held int) float64 {
		m := New()
		for i := range held {
			m.Put(object(string(rune(i)), 1))
		}
		at := m.Sequence() - 2
		return testing.AllocsPerRun(10, func() { m.Since(at) })
	}
	qt.Check(t, allocations(3000), qt.Equals, allocations(30))
}

func BenchmarkSince(b *testing.B) {
	m := New()
	for i := range 3064 {
		m.Put(object(string(rune(i)), 1))
	}
	at := m.Sequence() - 2
	for b.Loop() {
		m.Since(at)
	}
}
