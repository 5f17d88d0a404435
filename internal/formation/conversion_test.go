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
	qt.Check(t, logged["net_gain"].(float64) > 0, qt.IsTrue)
	delete(logged, "net_gain")
	qt.Check(t, logged, qt.DeepEquals, map[string]any{
		"recipient": "big", "donor": "small", "groups": []string{"b", "c"}, "domain": "d2",
		"recipient_before": 0.9, "recipient_after": 0.45, "recipient_peak_before": 0.9, "recipient_peak_after": 0.45,
		"donor_before": 0.2 / 3, "donor_after": 0.2, "donor_peak_before": 0.5 / 3, "donor_peak_after": 0.5, "peak_known": true,
	})
}

// Guards against a conversion that the recipient's present pressure asks for and that costs the donor more at its next peak, and
// against a peak that keeps a donor with many groups from giving one to a model that has hardly any.
func TestNetGainWeighsPresentAndPeak(t *testing.T) {
	trough := conversion{
		peakKnown: true, idleFraction: 0.3,
		recipientPresent: pressures{0.57, 0.48}, recipientPeak: pressures{0.75, 0.65},
		donorPresent: pressures{0.30, 0.36}, donorPeak: pressures{0.69, 0.82},
	}
	qt.Check(t, withinLimit(trough.recipientPresent, trough.donorPresent), qt.IsTrue, qt.Commentf("by the present need it would be allowed"))
	qt.Check(t, trough.allowed(), qt.IsFalse)
	oneOfMany := conversion{
		peakKnown: true, idleFraction: 0.3,
		recipientPresent: pressures{1.32, 1.0}, recipientPeak: pressures{1.5, 1.2},
		donorPresent: pressures{0.49, 0.51}, donorPeak: pressures{1.22, 1.26},
	}
	qt.Check(t, oneOfMany.allowed(), qt.IsTrue)
}

// When both models are short, the sum over the models decides, and no model gives up what it needs at present.
func TestNoConversionCostsMoreThanItGains(t *testing.T) {
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
	qt.Check(t, ended(120, 390), qt.HasLen, 0, qt.Commentf("pressures 1.33 and 1.3"))
	qt.Check(t, ended(120, 320), qt.HasLen, 0, qt.Commentf("pressures 1.33 and 1.07"))
	qt.Check(t, ended(120, 60), qt.HasLen, 4, qt.Commentf("pressures 1.33 and 0.2: four groups of small make one of big"))
}
