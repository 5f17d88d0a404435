package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// checkCommitments compares the index of endpoints with the plans and retirements.
func checkCommitments(p *Planner, fail func(format string, args ...any)) {
	want := newCommitments()
	for _, pl := range p.plans {
		want.addPlan(pl)
	}
	for _, r := range p.retiring {
		want.addRetirement(r.head.ID)
	}
	for id := range want.planByMember {
		if p.commitments.planByMember[id] != want.planByMember[id] {
			fail("endpoint %s is a member of a plan that the index lacks", id)
		}
	}
	for id, n := range want.retirementsByHead {
		if p.commitments.retirementsByHead[id] != n {
			fail("endpoint %s heads %d retiring groups, the index has %d", id, n, p.commitments.retirementsByHead[id])
		}
	}
	if len(p.commitments.planByMember) != len(want.planByMember) || len(p.commitments.retirementsByHead) != len(want.retirementsByHead) {
		fail("the index has entries without a plan or retirement")
	}
}

// The leader's work to plan a fleet's groups must not grow faster than the fleet. It is measured by the allocations of
// one step, which do not depend on the speed of the processor.
func TestFirstStepCostIsLinearInFleetSize(t *testing.T) {
	allocations := func(endpoints int) float64 {
		return testing.AllocsPerRun(1, func() {
			_, p, v := startingFleet(endpoints)
			p.Step(v)
		})
	}
	few, many := allocations(190), allocations(4*190)
	qt.Check(t, many < 1.5*4*few, qt.IsTrue, qt.Commentf("%.0f allocations for 190 endpoints, %.0f for four times as many", few, many))
}
