package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// secondModels returns how many members of groups keep a second model once a fleet of that many domains of ten has settled, and
// the fleet and its planner.
func secondModels(t *testing.T, domains int) (int, *world, *Planner) {
	w := newWorld(0, t.Fatalf)
	w.domainSize = 10
	for range 10 * domains {
		w.add()
	}
	p := NewPlanner(1, origin)
	settleFor(w, p, 8*time.Second)
	return keeping(w), w, p
}

func keeping(w *world) int {
	n := 0
	for _, x := range w.workers {
		if x.Membership != nil && hasOtherModelStaged(&x.Endpoint) {
			n++
		}
	}
	return n
}

// Second models are for conversions, of which there are few in the time of a load, however large the fleet is.
func TestSecondModelsBeforeTheFirstRequestDoNotGrowWithTheFleet(t *testing.T) {
	wanted := convertibleEndpoints(testService().Engine)
	small, _, _ := secondModels(t, 2)
	qt.Check(t, small >= 18, qt.IsTrue, qt.Commentf("%d: all members of a small fleet", small))
	for _, domains := range []int{10, 30} {
		got, _, _ := secondModels(t, domains)
		qt.Check(t, got >= wanted*8/10 && got <= wanted+10, qt.IsTrue, qt.Commentf("%d of %d endpoints for %d", got, 10*domains, wanted))
	}
}

// While requests come, a model in need may want more than conversions could reach at first.
func TestSecondModelsAreGivenToAllOnceAModelIsInNeed(t *testing.T) {
	before, w, p := secondModels(t, 10)
	w.busy = true
	w.demand = map[string]int{"big": 3, "small": 3}
	settleFor(w, p, 10*time.Second)
	qt.Check(t, keeping(w), qt.Equals, before, qt.Commentf("nobody is in need"))
	w.demand = map[string]int{"big": 100, "small": 3}
	settleFor(w, p, 20*time.Second)
	qt.Check(t, keeping(w) > before+10, qt.IsTrue, qt.Commentf("%d, %d before", keeping(w), before))
}
