package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a replica group that refuses all requests being treated as the least loaded one, which uses up the retry
// budget.
func TestGroupThatRefusesAllGetsLessThanItsShare(t *testing.T) {
	const duration = 6 * time.Second
	f := newFleet(t)
	heads := f.platform.OpenHeads()
	before := make([]int, len(heads))
	heads[0].Refuse(true)
	for i, head := range heads {
		before[i] = len(f.platform.Arrivals(head.ID))
	}
	start := time.Now()
	failed := f.load(func(*node) *result { return f.stream(f.nodes[0], "key-1") }, func() bool { return time.Since(start) > duration })
	refused, served := len(f.platform.Arrivals(heads[0].ID))-before[0], 0
	for i, head := range heads[1:] {
		served += len(f.platform.Arrivals(head.ID)) - before[i+1]
	}
	qt.Check(t, refused < served/len(heads[1:]), qt.IsTrue, qt.Commentf("%d refused, %d served by %d others", refused, served, len(heads)-1))
	qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests failed although other endpoints had capacity"))
	heads[0].Refuse(false)
	resumed := len(f.platform.Arrivals(heads[0].ID))
	restored := func() bool { return len(f.platform.Arrivals(heads[0].ID)) > resumed+20 }
	f.load(func(*node) *result { return f.stream(f.nodes[0], "key-1") }, restored)
	qt.Check(t, restored(), qt.IsTrue, qt.Commentf("the endpoint does not regain its usual share"))
}
