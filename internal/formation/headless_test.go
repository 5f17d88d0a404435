package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// headlessFleet returns a fleet in which the head of the only group of three is lost to the store, and a new leader that has never
// seen it.
func headlessFleet(t *testing.T, lose func(*simulation, *fakeEndpoint)) (*simulation, *Planner, *fakeEndpoint) {
	t.Helper()
	w := newSimulation(4, t.Fatalf)
	runFor(w, NewPlanner(1, origin), 8*time.Second)
	var head *fakeEndpoint
	for _, x := range w.endpoints {
		if m := x.Membership; m != nil && m.State == endpoint.Open {
			head = x
		}
	}
	qt.Assert(t, head, qt.IsNotNil)
	lose(w, head)
	w.advance(2 * entryTTL)
	w.restarted, w.busy, w.demand = true, true, map[string]int{"big": 9, "small": 1}
	w.advance(tick)
	return w, NewPlanner(2, w.now), head
}

// Guards against members that serve nobody for twelve seconds because the new leader does not know the head of their group.
func TestMembersOfAnUnknownHeadSoonServeAgain(t *testing.T) {
	w, p, _ := headlessFleet(t, func(w *simulation, head *fakeEndpoint) { head.up, head.lostAt = false, w.now })
	runFor(w, p, 5*time.Second)
	qt.Check(t, openGroups(w)["big"], qt.Equals, 1, qt.Commentf("two members and a spare are left"))
}

// Guards against members that join another group while the head of theirs, which no node knows, is open.
func TestMembersLeaveAnUnknownHeadBeforeTheyJoinOthers(t *testing.T) {
	w, p, head := headlessFleet(t, func(w *simulation, head *fakeEndpoint) {
		head.storeCut, head.leaderCut, head.lostAt = true, true, w.now
	})
	runFor(w, p, 20*time.Second) // fails if a member joins another group before it has left this one
	qt.Check(t, head.Membership.State, qt.Equals, endpoint.Open)
	qt.Check(t, openGroups(w)["big"], qt.Equals, 2, qt.Commentf("the unknown group and the new one"))
}
