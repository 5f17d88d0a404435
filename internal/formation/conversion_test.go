package formation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Without the pressures at the peak the log does not tell why groups were ended, or why they were missing later.
func TestConversionIsLoggedWithItsPressures(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 2}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d2", "small", "big", 2)
	s.group("c", "d2", "small", "big", 2)
	s.group("d", "d3", "small", "small", 2)
	p := s.newSettledPlanner()
	e := testService().Engine
	p.demand.update(e, s.demand, nil, s.now)
	p.demand.peaks["small"].Add(0.5, s.now)
	logged := make(map[string]any)
	p.Note = func(event, _ string, pairs ...any) {
		for i := 0; event == "conversion" && i < len(pairs); i += 2 {
			logged[pairs[i].(string)] = pairs[i+1]
		}
	}
	p.Step(s.view())
	qt.Check(t, logged, qt.DeepEquals, map[string]any{
		"recipient": "big", "donor": "small", "groups": []string{"b", "c"}, "domain": "d2",
		"recipient_before": 0.9, "recipient_after": 0.45, "recipient_peak_before": 0.9, "recipient_peak_after": 0.45,
		"donor_before": 0.2 / 3, "donor_after": 0.2, "donor_peak_before": 0.5 / 3, "donor_peak_after": 0.5, "peak_known": true,
	})
}

// When both models are short, the one with the highest pressure must not get, or keep, endpoints that could serve more
// requests of the other.
func TestSumOverModelsDecidesWhenBothAreShort(t *testing.T) {
	ended := func(big, small int) []string {
		s := &fleetListing{demand: map[string]int{"big": big, "small": small}}
		for i := range 3 {
			s.group(fmt.Sprint("big", i), "d1", "big", "small", 16)
		}
		for i := range 10 {
			s.group(fmt.Sprint("small", i), "d2", "small", "big", 4)
		}
		p, v := s.newSettledPlanner(), s.view()
		v.Service = waveService()
		p.Step(v)
		return p.Retiring()
	}
	qt.Check(t, ended(120, 390), qt.DeepEquals, []string{"big0"}, qt.Commentf("pressures 1.33 and 1.3: 30 requests of big lose their slots, 90 of small gain one"))
	qt.Check(t, ended(150, 390), qt.HasLen, 0, qt.Commentf("big would have two of the five groups that it needs"))
	qt.Check(t, ended(120, 320), qt.HasLen, 0, qt.Commentf("20 requests of small would gain a slot, and 30 of big would lose theirs"))
	qt.Check(t, ended(170, 310), qt.HasLen, 0, qt.Commentf("a group of big would cost four of small"))
}
