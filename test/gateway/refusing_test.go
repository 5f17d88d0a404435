package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a replica group that refuses all requests being taken for the least loaded one, which then spends the budget
// of repeats.
func TestGroupThatRefusesAllGetsLessThanItsShare(t *testing.T) {
	const lasts = 6 * time.Second
	f := newFleet(t)
	heads := f.estate.OpenHeads()
	before := make([]int, len(heads))
	heads[0].Refuse(true)
	for i, head := range heads {
		before[i] = len(f.estate.Arrivals(head.ID))
	}
	begun := time.Now()
	failed := f.load(func(*node) *result { return f.stream(f.nodes[0], "key-1") }, func() bool { return time.Since(begun) > lasts })
	refused, served := len(f.estate.Arrivals(heads[0].ID))-before[0], 0
	for i, head := range heads[1:] {
		served += len(f.estate.Arrivals(head.ID)) - before[i+1]
	}
	qt.Check(t, refused < served/len(heads[1:]), qt.IsTrue, qt.Commentf("%d refused, %d served by %d others", refused, served, len(heads)-1))
	qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests were not answered though others had room"))
	heads[0].Refuse(false)
	again := len(f.estate.Arrivals(heads[0].ID))
	usual := func() bool { return len(f.estate.Arrivals(heads[0].ID)) > again+20 }
	f.load(func(*node) *result { return f.stream(f.nodes[0], "key-1") }, usual)
	qt.Check(t, usual(), qt.IsTrue, qt.Commentf("it does not get its usual share again"))
}
