package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// checkCommitments compares the index of what plans and retirements bind with what these say.
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
			fail("%s is planned with and not known as such", id)
		}
	}
	for id, n := range want.retirementsByHead {
		if p.commitments.retirementsByHead[id] != n {
			fail("%s heads %d groups that retire, %d are known", id, n, p.commitments.retirementsByHead[id])
		}
	}
	if len(p.commitments.planByMember) != len(want.planByMember) || len(p.commitments.retirementsByHead) != len(want.retirementsByHead) {
		fail("bonds are known that nothing binds")
	}
}

// What the leader does to plan a fleet's groups grows with the fleet. The allocations of one step stand for its work: they
// do not depend on how fast the machine is.
func TestWorkOfTheFirstStepGrowsAsTheFleet(t *testing.T) {
	allocations := func(endpoints int) float64 {
		return testing.AllocsPerRun(1, func() {
			_, p, v := starting(endpoints)
			p.Step(v)
		})
	}
	few, many := allocations(190), allocations(4*190)
	qt.Check(t, many < 1.5*4*few, qt.IsTrue, qt.Commentf("%.0f allocations for 190 endpoints, %.0f for four times as many", few, many))
}
