package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// While no model is in need, first models beyond the expected losses must not use the reserve of urgent loads.
func TestSparesBeyondExpectedLossesAreSpeculative(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 1, "small": 1}}
	for _, name := range []string{"a", "b"} {
		s.group(name, "d1", "big", "small", 3)
		s.group(name+"2", "d1", "small", "big", 2)
	}
	for range 3 {
		s.add("d1", "", "")
	}
	p := s.newSettledPlanner()
	v := s.view()
	p.loadRates.since = s.now.Add(-time.Minute)
	p.loadRates.lost = []time.Time{s.now, s.now}
	short := p.shortfalls(v)
	qt.Assert(t, short, qt.HasLen, 0)
	urgent, speculative := p.firstModels(v, short)
	qt.Check(t, urgent, qt.HasLen, 2, qt.Commentf("as many as losses are expected"))
	qt.Check(t, speculative, qt.HasLen, 1)
	for _, l := range speculative {
		p.loadRates.emptySince[l.endpoint.ID] = s.now.Add(-2 * time.Second)
	}
	urgent, _ = p.firstModels(v, short)
	qt.Check(t, urgent, qt.HasLen, 3, qt.Commentf("one has waited for half of the longest load"))
}
