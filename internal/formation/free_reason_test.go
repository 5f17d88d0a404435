package formation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

func TestEachFreeEndpointHasOneReason(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "", 3)
	s.group("b", "d1", "small", "", 2)
	s.group("c", "d1", "small", "", 2)
	s.add("d2", "", "")
	loading, silent := s.add("d2", "", ""), s.add("d2", "big", "")
	s.add("d2", "big", "")
	s.add("d2", "small", "")
	ended := s.add("d2", "small", "")
	ended.Membership = &endpoint.Membership{Group: "x", Epoch: 1, Rank: 1, State: endpoint.Ready}
	s.add("d3", "big", "")
	planned, draining := s.add("d2", "big", ""), s.add("d2", "big", "")
	draining.Draining = true
	for range 3 {
		s.add("d4", "big", "")
	}
	p := s.newSettledPlanner()
	v := s.view()
	v.Contacts = map[string]Contact{silent.ID: {FailedSince: s.now}}
	p.stagings[loading.ID] = staging{model: "big", until: s.now.Add(time.Minute)}
	p.ended["x"] = s.now
	p.reserved["d3"] = reservation{"big", s.now.Add(time.Second)}
	p.commitments.addPlan(&plan{members: []*endpoint.Endpoint{planned}})
	qt.Check(t, p.freeReasons(v), qt.DeepEquals, map[FreeReason]int{
		FreeEmpty: 1, FreeLoading: 1, FreeUnreachable: 1, FreeIncomplete: 1, FreeNotNeeded: 1, FreeEnding: 1, FreeReserved: 1, FreeWithheld: 3,
	})
}

// idleDefects returns the free endpoints that could serve a model in need within its load time and are neither in a plan
// nor being given a model, although no limit on loads was reached in the last step.
func idleDefects(p *Planner, v *View) []string {
	var out []string
	free, have := p.freeByDomain(v), p.assignedEndpoints(v)
	before := len(p.plans)
	if p.formOne(v, free, have, nil) && len(p.plans) > before {
		out = append(out, "a group could be formed")
	}
	if p.urgentLoadWaits {
		return out
	}
	short := p.shortfalls(v)
	urgent, _ := p.firstModels(v, short)
	for _, l := range append(completionLoads(short), urgent...) {
		if !p.isLoading(l.endpoint) {
			out = append(out, fmt.Sprint(l.endpoint.ID, " could load ", l.model.Name))
		}
	}
	return out
}

func TestIdleDefectsAreDetected(t *testing.T) {
	s := &fleetListing{demand: map[string]int{"big": 9, "small": 1}}
	s.group("a", "d1", "big", "small", 3)
	s.group("b", "d1", "small", "big", 2)
	s.add("d2", "big", "")
	s.add("d2", "big", "")
	s.add("d2", "", "")
	p := s.newSettledPlanner()
	v := s.view()
	qt.Check(t, idleDefects(p, v), qt.Not(qt.HasLen), 0, qt.Commentf("the planner has not yet decided anything"))
	p.Step(v)
	qt.Check(t, idleDefects(p, v), qt.HasLen, 0)
	s.add("d2", "big", "")
	qt.Check(t, idleDefects(p, s.view()), qt.Not(qt.HasLen), 0, qt.Commentf("three endpoints with big are free"))
}

// TestNoFreeEndpointIsLeftIdle guards against endpoints that stay free although they could serve a model in need within
// its load time.
func TestNoFreeEndpointIsLeftIdle(t *testing.T) {
	h := newHardLoad(4, t.Fatalf)
	checked, idle := 0, make(map[string]int) // consecutive steps by defect
	h.afterStep = func() {
		if !h.planner.urgentLoadWaits {
			checked++
		}
		now := make(map[string]int)
		for _, defect := range idleDefects(h.planner, h.view(0)) {
			now[defect] = idle[defect] + 1
			// One step orders the loads of one group of each model in each domain; the next one those of another group.
			qt.Assert(t, now[defect] <= 3, qt.IsTrue, qt.Commentf("%s, after %v", defect, h.now.Sub(origin)))
		}
		idle = now
	}
	h.run(30 * time.Second)
	qt.Check(t, checked > 30, qt.IsTrue, qt.Commentf("in %d of 300 steps no limit on loads was reached", checked))
	t.Logf("no limit on loads was reached in %d of 300 steps", checked)
}
