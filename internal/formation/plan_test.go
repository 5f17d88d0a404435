package formation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newPlannedGroup returns a listing whose two free endpoints were just ordered to join a group, the planner, and the
// joins.
func newPlannedGroup(t *testing.T) (*fleetListing, *Planner, []Order) {
	t.Helper()
	s := &fleetListing{demand: map[string]int{"big": 1, "small": 1}}
	s.add("d1", "small", "")
	s.add("d1", "small", "")
	p := s.newSettledPlanner()
	sent, _ := p.Step(s.view())
	joins := slices.DeleteFunc(sent, func(o Order) bool { return o.Kind != Join })
	qt.Assert(t, joins, qt.HasLen, 2)
	return s, p, joins
}

// plansAfter advances the time, runs a step and returns how many plans are left.
func (s *fleetListing) plansAfter(d time.Duration, p *Planner) int {
	s.now = s.now.Add(d)
	p.Step(s.view())
	return len(p.plans)
}

func TestReadyTimeoutStartsAtTheLastJoin(t *testing.T) {
	s, p, sent := newPlannedGroup(t)
	p.RecordOutcome(sent[0], Accepted, s.now)
	p.RecordOutcome(sent[1], Accepted, s.now.Add(joinGrace/2))
	qt.Check(t, s.plansAfter(joinGrace+time.Millisecond, p), qt.Equals, 1, qt.Commentf("half of the last member's time is left"))
	s.now = s.now.Add(joinGrace / 2)
	p.Step(s.view())
	qt.Check(t, p.ended, qt.HasLen, 1, qt.Commentf("the plan should be abandoned after the last member's time"))
}

func TestPlanWithUnansweredJoinIsAbandonedOnTime(t *testing.T) {
	s, p, sent := newPlannedGroup(t)
	p.RecordOutcome(sent[0], Accepted, s.now.Add(joinGrace/2))
	p.RecordOutcome(sent[1], Unknown, s.now.Add(joinGrace/2))
	s.plansAfter(joinGrace+time.Millisecond, p)
	qt.Check(t, p.ended, qt.HasLen, 1)
}

func TestHeadThatAcceptedOpenGetsTimeToOpen(t *testing.T) {
	s, p, sent := newPlannedGroup(t)
	for _, pl := range p.plans {
		p.RecordOutcome(Order{Kind: Open, Endpoint: sent[0].Endpoint, Group: pl.name, Epoch: pl.epoch}, Accepted, s.now.Add(joinGrace/2))
	}
	qt.Check(t, s.plansAfter(joinGrace+time.Millisecond, p), qt.Equals, 1)
	s.plansAfter(openTimeout, p)
	qt.Check(t, p.ended, qt.HasLen, 1)
}
