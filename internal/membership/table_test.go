package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/membership"
)

var start = time.Unix(1000, 0)

func newTable() *membership.Table {
	t := membership.NewTable(membership.Member{VM: "self", Incarnation: "s", Heard: start})
	t.Put(membership.Member{VM: "a", Incarnation: "1", Change: 1, Revision: 4, Heard: start})
	return t
}

func TestNewerChangeIsAppliedEvenIfItsHeardTimeIsOlder(t *testing.T) {
	members := newTable()
	members.Heard("a", "1", start.Add(time.Second)) // reported earlier through another, faster relay
	members.Put(membership.Member{VM: "a", Incarnation: "1", Change: 2, Revision: 5, Draining: true, Heard: start.Add(time.Millisecond)})
	m, _ := members.Get("a")
	qt.Check(t, m.Revision, qt.Equals, int64(5))
	qt.Check(t, m.Draining, qt.IsTrue)
	qt.Check(t, m.Heard, qt.Equals, start.Add(time.Second), qt.Commentf("the later Heard time must be kept"))
}

func TestOlderChangeReceivedLaterIsIgnored(t *testing.T) {
	members := newTable()
	members.Put(membership.Member{VM: "a", Incarnation: "1", Change: 3, Revision: 6, Heard: start})
	members.Put(membership.Member{VM: "a", Incarnation: "1", Change: 2, Revision: 5, Draining: true, Heard: start.Add(time.Second)})
	m, _ := members.Get("a")
	qt.Check(t, m.Revision, qt.Equals, int64(6))
	qt.Check(t, m.Draining, qt.IsFalse)
	qt.Check(t, m.Heard, qt.Equals, start.Add(time.Second))
}

func TestHeardIgnoresOtherIncarnations(t *testing.T) {
	members := newTable()
	members.Heard("a", "2", start.Add(time.Minute))
	m, _ := members.Get("a")
	qt.Check(t, m.Heard, qt.Equals, start)
	members.Put(membership.Member{VM: "a", Incarnation: "2", Heard: start.Add(time.Second)})
	m, _ = members.Get("a")
	qt.Check(t, m.Incarnation, qt.Equals, "2")
}
