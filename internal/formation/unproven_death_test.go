package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// fleetWithLostHead returns a fleet with one group of each model and a spare, after the head of the group of three has been lost to all nodes,
// and that head.
func fleetWithLostHead(t *testing.T, lose func(*fakeEndpoint)) (*simulation, *Planner, *fakeEndpoint) {
	t.Helper()
	w, p := newSimulation(6, t.Fatalf), NewPlanner(1, origin)
	runFor(w, p, 8*time.Second)
	var head *fakeEndpoint
	for _, x := range w.endpoints {
		if m := x.Membership; m != nil && m.State == endpoint.Open && x.Models[0] == "big" {
			head = x
		}
	}
	qt.Assert(t, head, qt.IsNotNil)
	head.lostAt = w.now
	lose(head)
	w.suspects = func() map[string]bool { return map[string]bool{head.Membership.Group: true} }
	w.busy, w.demand = true, map[string]int{"big": 9, "small": 1}
	return w, p, head
}

// Guards against members that join another group while the head of theirs, which nothing proves to have ended, is open.
func TestMembersLeaveAHeadWhoseEndIsNotProvenBeforeTheyJoinOthers(t *testing.T) {
	for _, test := range []struct {
		about string
		lose  func(*fakeEndpoint)
	}{
		{"the head refuses connections", func(x *fakeEndpoint) { x.refusing = true }},
		{"the head is cut off from the store and all nodes", func(x *fakeEndpoint) { x.storeCut, x.nodesCut = true, true }},
		{"the head refuses connections and is cut off from the store", func(x *fakeEndpoint) { x.storeCut, x.refusing = true, true }},
	} {
		t.Run(test.about, func(t *testing.T) {
			w, p, head := fleetWithLostHead(t, test.lose)
			runFor(w, p, 20*time.Second) // fails if a member joins another group before it has left this one
			qt.Check(t, head.Membership, qt.IsNotNil, qt.Commentf("no order reaches the head"))
			qt.Check(t, openGroups(w)["big"], qt.Equals, 2, qt.Commentf("the old group and the new one"))
			head.storeCut, head.nodesCut, head.refusing = false, false, false
			w.suspects = nil
			runFor(w, p, 10*time.Second) // fails if the head joins another group while it is open
			qt.Check(t, openGroups(w)["big"], qt.Equals, 1, qt.Commentf("the old group has no members but its head"))
			qt.Check(t, p.Retiring(), qt.HasLen, 0)
		})
	}
}

// Guards against members of a head that has ended which serve nobody for long because nothing proves its end.
func TestMembersOfAHeadThatHasEndedSoonServeAgain(t *testing.T) {
	w, p, _ := fleetWithLostHead(t, func(x *fakeEndpoint) { x.up, x.refusing = false, true })
	runFor(w, p, 2*time.Second)
	qt.Check(t, openGroups(w)["big"], qt.Equals, 1)
	runFor(w, p, 5*time.Second)
	qt.Check(t, p.Retiring(), qt.HasLen, 0, qt.Commentf("its entry has lapsed"))
}
