package formation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// fastestFirstModel is the compared rule: always the model that loads fastest.
func fastestFirstModel(_ *firstModelChoice, v *View, e *endpoint.Endpoint) stageTarget {
	return stageTarget{endpoint: e, model: fastestToLoad(v.Service.Engine)}
}

// TestFirstModelRules plays the hard load with both rules and prints what they serve.
func TestFirstModelRules(t *testing.T) {
	for name, rule := range map[string]firstModelRule{"fastest": fastestFirstModel, "most lacked": (*firstModelChoice).mostLacked} {
		t.Run(name, func(t *testing.T) {
			h := newHardLoad(1, t.Fatalf)
			h.planner.firstModel = rule
			h.run(40 * time.Second)
			mean, longest := h.waitStats()
			t.Logf("%s: first models waited %.2f s (longest %.1f s), unserved %.2f %%, requests without a place for %v", name, mean, longest, 100*h.unserved(), h.overloaded)
			qt.Check(t, longest <= 16, qt.IsTrue, qt.Commentf("a first model should be ordered within one load time"))
		})
	}
}

// A first model that loads fastest, small, would leave the broken group of big without its last member.
func TestFirstModelCompletesAGroupThatTheDomainLacks(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 9}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "big", "")
	s.add("d2", "big", "")
	first := s.add("d2", "", "")
	p := s.newSettledPlanner()
	v := s.view()
	choice := p.newFirstModelChoice(p.shortfalls(v))
	qt.Check(t, choice.mostLacked(v, first).model.Name, qt.Equals, "big")
}

func TestFirstModelOfAnIncompleteDomainFollowsThePressure(t *testing.T) {
	for model, demand := range map[string]map[string]int{"big": {"big": 9, "small": 5}, "small": {"big": 5, "small": 9}} {
		s := &fleetListing{demand: demand}
		s.group("a", "d1", "big", "small", 3)
		s.group("b", "d1", "small", "big", 2)
		only := s.add("d2", "", "")
		p := s.newSettledPlanner()
		v := s.view()
		choice := p.newFirstModelChoice(p.shortfalls(v))
		qt.Check(t, choice.mostLacked(v, only).model.Name, qt.Equals, model)
	}
}

// TestEndpointsAddedOneAfterAnotherGetAModel guards against endpoints that stay empty because loads of a higher rank or
// speculative loads always come first.
func TestEndpointsAddedOneAfterAnotherGetAModel(t *testing.T) {
	h := newHardLoad(3, t.Fatalf)
	h.withoutLosses, h.lossEach = true, 0
	const limit = 2 * 16 * time.Second
	added := make(map[string]time.Time)
	for i := range 100 {
		added[h.addTo(fmt.Sprint("d", i%hardLoadDomains))] = h.now
		h.run(1200 * time.Millisecond)
		for id, at := range added {
			switch x := h.endpoints[id]; {
			case len(x.Models)+len(x.Staged) > 0:
				delete(added, id)
			case h.now.Sub(at) > limit:
				t.Fatalf("%s has been without a model for %v", id, h.now.Sub(at))
			}
		}
	}
	qt.Check(t, len(added) < 30, qt.IsTrue, qt.Commentf("%d still without a model", len(added)))
}
