package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A reserve that ends at once sends the places of a bursty workspace back and forth; one that does not end keeps places
// of an idle workspace from the others.
func TestPeakDemandIsReservedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPool("m", fixedAllocator{})
	q := p.queue("w", now)
	q.lastArrival = now
	p.arrivals["w"].Add(now)
	q.demand.Add(3, now)
	reserve := func(after time.Duration) int {
		r, _, _ := p.report(now.Add(after))
		return r.Workspaces[0].Reserve
	}
	qt.Check(t, reserve(0), qt.Equals, 3)
	qt.Check(t, reserve(peakDemandSpan-time.Millisecond), qt.Equals, 3)
	qt.Check(t, reserve(2*time.Second), qt.Equals, 0)
}
