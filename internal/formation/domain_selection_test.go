package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settleFleet runs a fleet of that many domains of ten endpoints until it has settled. It returns the number of group
// members with a second model, the fleet and its planner.
func settleFleet(t *testing.T, domains int) (int, *simulation, *Planner) {
	w := newSimulation(0, t.Fatalf)
	w.domainSize = 10
	for range 10 * domains {
		w.add()
	}
	p := NewPlanner(1, origin)
	runFor(w, p, 8*time.Second)
	return countSecondModels(w), w, p
}

func countSecondModels(w *simulation) int {
	n := 0
	for _, x := range w.endpoints {
		if x.Membership != nil && hasOtherModelStaged(&x.Endpoint) {
			n++
		}
	}
	return n
}

// Second models are for conversions, of which only a limited number fit into the time of a load, however large the
// fleet is.
func TestSecondModelsBeforeTrafficAreBoundedInLargeFleets(t *testing.T) {
	wanted := convertibleEndpoints(testService().Engine)
	small, _, _ := settleFleet(t, 2)
	qt.Check(t, small >= 18, qt.IsTrue, qt.Commentf("%d: all members of a small fleet should have one", small))
	for _, domains := range []int{10, 30} {
		got, _, _ := settleFleet(t, domains)
		qt.Check(t, got >= wanted*8/10 && got <= wanted+10, qt.IsTrue, qt.Commentf("%d of %d endpoints have one, want about %d", got, 10*domains, wanted))
	}
}

// While requests arrive, a model in need may require more endpoints than conversions could use at first.
func TestSecondModelsGrowOnceAModelIsInNeed(t *testing.T) {
	before, w, p := settleFleet(t, 10)
	w.busy = true
	w.demand = map[string]int{"big": 3, "small": 3}
	runFor(w, p, 10*time.Second)
	qt.Check(t, countSecondModels(w), qt.Equals, before, qt.Commentf("no model is in need"))
	w.demand = map[string]int{"big": 100, "small": 3}
	runFor(w, p, 20*time.Second)
	qt.Check(t, countSecondModels(w) > before+10, qt.IsTrue, qt.Commentf("%d have a second model, %d before", countSecondModels(w), before))
}
