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

// Guards against survivors of broken groups that serve nobody until a load has ended, in fleets that are larger than what
// conversions can use.
func TestAllMembersHaveASecondModelBeforeTraffic(t *testing.T) {
	for _, domains := range []int{2, 10, 30} {
		got, w, _ := settleFleet(t, domains)
		members := 0
		for _, x := range w.endpoints {
			if x.Membership != nil {
				members++
			}
		}
		qt.Check(t, members >= 9*domains, qt.IsTrue, qt.Commentf("%d of %d endpoints are in groups", members, 10*domains))
		qt.Check(t, got, qt.Equals, members)
	}
}

// While requests arrive, members that have lost their second model get one only once a model is in need, except for as many as
// conversions can use.
func TestSecondModelsGrowOnceAModelIsInNeed(t *testing.T) {
	_, w, p := settleFleet(t, 10)
	for _, x := range w.endpoints {
		if x.Membership != nil {
			x.Staged = nil
		}
	}
	wanted := convertibleEndpoints(testService().Engine)
	w.busy = true
	w.demand = map[string]int{"big": 3, "small": 3}
	runFor(w, p, 20*time.Second)
	before := countSecondModels(w)
	qt.Check(t, before >= wanted*8/10 && before <= wanted+10, qt.IsTrue, qt.Commentf("%d of 100 endpoints have one, want about %d", before, wanted))
	w.demand = map[string]int{"big": 100, "small": 3}
	runFor(w, p, 20*time.Second)
	qt.Check(t, countSecondModels(w) > before+10, qt.IsTrue, qt.Commentf("%d have a second model, %d before", countSecondModels(w), before))
}

// Guards against more loads than the weight store starts, by a leader that takes a restart of all nodes for the start of the fleet.
func TestLeaderThatFindsGroupsKeepsToTheLimitsOnLoads(t *testing.T) {
	_, w, _ := settleFleet(t, 10)
	for _, x := range w.endpoints {
		x.Staged = nil
	}
	p := NewPlanner(2, w.now)
	w.timed = true
	var starts []time.Time
	for range 100 {
		w.advance(tick)
		before := len(p.stagings)
		w.step(p, 0, deliverNow)
		w.deliver()
		for range len(p.stagings) - before {
			starts = append(starts, w.now)
		}
		qt.Assert(t, len(p.stagings) <= w.service.Engine.LoadsAtOnce, qt.IsTrue)
	}
	limit := int(maxLoadRateFraction*w.service.Engine.LoadsPerSecond) + 1
	for i := limit; i < len(starts); i++ {
		qt.Assert(t, starts[i].Sub(starts[i-limit]) >= time.Second-tick, qt.IsTrue, qt.Commentf("more than %d loads start within a second", limit))
	}
	qt.Check(t, len(starts) > 0, qt.IsTrue)
}
