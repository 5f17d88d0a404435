package formation

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSpeculativeLoadsLeaveTheReserveFree(t *testing.T) {
	const limit, reserve = 27, 13
	allowed := func(urgent, speculative int, asSpeculative bool) bool {
		return loadsInProgress{urgent, speculative}.allows(asSpeculative, limit, reserve)
	}
	qt.Check(t, allowed(0, 13, true), qt.IsTrue)
	qt.Check(t, allowed(0, 14, true), qt.IsFalse, qt.Commentf("13 are left for urgent loads"))
	qt.Check(t, allowed(12, 14, false), qt.IsTrue)
	qt.Check(t, allowed(13, 14, false), qt.IsFalse, qt.Commentf("the limit holds for urgent loads too"))
	qt.Check(t, allowed(20, 6, true), qt.IsTrue, qt.Commentf("urgent loads in progress use the reserve"))
	qt.Check(t, allowed(20, 7, true), qt.IsFalse)
	qt.Check(t, loadsInProgress{}.allows(false, 0, 0), qt.IsTrue, qt.Commentf("without a configured limit one load may run"))
}

// Loads of an earlier leader may be speculative. If they counted as urgent, they would use up the reserve, and the urgent
// loads of the new leader would wait.
func TestLoadsOfAnEarlierLeaderDoNotUseTheReserve(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 1, "small": 1}}
	for _, name := range []string{"a", "b", "c", "d"} {
		s.group(name, "d1", "big", "", 3)
	}
	p := s.newSettledPlanner()
	s.now = p.started.Add(surveyWindow / 2)
	v := s.view()
	v.Contacts = map[string]Contact{"e00": {LastAnswer: s.now, Busy: true}, "e01": {LastAnswer: s.now, Busy: true}}
	p.Step(v)
	qt.Check(t, p.loadsRunning(), qt.Equals, loadsInProgress{speculative: 2})
	s.now = p.started.Add(firstLoadDelay)
	v = s.view()
	sent, _ := p.Step(v)
	qt.Check(t, modelsByEndpoint(sent, Stage), qt.HasLen, 0, qt.Commentf("two of four are left for urgent loads"))
}
