package formation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEachEndpointThatDoesNotServeAModelHasOneCause(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "", 3)
	s.group("b", "d1", "small", "big", 2)
	s.group("c", "d2", "small", "", 2)
	s.add("d2", "", "")
	loading, silent := s.add("d2", "", ""), s.add("d2", "big", "")
	s.add("d2", "big", "")
	for range 3 {
		s.add("d3", "big", "")
	}
	p := s.newSettledPlanner()
	v := s.view()
	v.Contacts = map[string]Contact{silent.ID: {FailedSince: s.now}}
	p.stagings[loading.ID] = staging{model: "small", until: s.now.Add(time.Minute), purpose: LoadFirst}
	big, _ := v.Service.Engine.Model("big")
	got := p.shortage(v, big)
	qt.Check(t, got.Endpoints, qt.DeepEquals, map[Cause]int{
		CauseConvertible: 2, CauseOtherModel: 2, CauseNoCopy: 1, CauseLoading: 1, CauseUnreachable: 1, CauseIncomplete: 1, CauseNotPlanned: 3,
	})
	qt.Check(t, got.Possible, qt.Equals, 2, qt.Commentf("five endpoints of d1, two of d2 and three of d3 have a copy"))
	qt.Check(t, p.countLoads(), qt.DeepEquals, map[LoadPurpose]int{LoadFirst: 1})
}

// Guards against a crash of the leader in the second in which the head of a group that is being ended is listed without a group.
func TestHeadThatHasLeftItsRetiringGroupHasACause(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "", 3)
	head := s.add("d2", "big", "")
	p := s.newSettledPlanner()
	v := s.view()
	p.retire(v, "x", 1, head, "a member is leaving", time.Minute)
	big, _ := v.Service.Engine.Model("big")
	qt.Check(t, p.shortage(v, big).Endpoints, qt.DeepEquals, map[Cause]int{CauseEnding: 1})
}

func TestFailedPlansAreReported(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "", 3)
	for range 3 {
		s.add("d2", "big", "")
	}
	p := s.newSettledPlanner()
	type report struct {
		Reason    PlanFailure
		Endpoints int
		Held      time.Duration
	}
	var got []report
	p.OnPlanFailed = func(reason PlanFailure, endpoints int, held time.Duration) {
		got = append(got, report{reason, endpoints, held})
	}
	joins, _ := p.Step(s.view())
	qt.Assert(t, modelsByEndpoint(joins, Join), qt.HasLen, 3)
	s.now = s.now.Add(joinAnswerTimeout)
	v := s.view()
	v.Contacts = map[string]Contact{joins[0].Endpoint.ID: {FailedSince: s.now.Add(-joinAnswerTimeout)}}
	p.Step(v)
	qt.Check(t, got, qt.DeepEquals, []report{{PlanMemberSilent, 3, joinAnswerTimeout}})
}
