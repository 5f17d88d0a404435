package formation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// planned returns an estate whose two free endpoints have just been ordered into a group, the planner, and the orders.
func planned(t *testing.T) (*estate, *Planner, []Order) {
	t.Helper()
	s := &estate{demand: map[string]int{"big": 1, "small": 1}}
	s.add("d1", "small", "")
	s.add("d1", "small", "")
	p := s.settled()
	given, _ := p.Step(s.view())
	joins := slices.DeleteFunc(given, func(o Order) bool { return o.Kind != Join })
	qt.Assert(t, joins, qt.HasLen, 2)
	return s, p, joins
}

// after lets that time pass and returns how many plans are left after a step.
func (s *estate) after(d time.Duration, p *Planner) int {
	s.now = s.now.Add(d)
	p.Step(s.view())
	return len(p.plans)
}

func TestTimeToBeReadyBeginsWhenTheLastMemberHasTakenTheOrder(t *testing.T) {
	s, p, given := planned(t)
	p.RecordOutcome(given[0], Taken, s.now)
	p.RecordOutcome(given[1], Taken, s.now.Add(joinGrace/2))
	qt.Check(t, s.after(joinGrace+time.Millisecond, p), qt.Equals, 1, qt.Commentf("its last member has had half of the time"))
	s.now = s.now.Add(joinGrace / 2)
	p.Step(s.view())
	qt.Check(t, p.ended, qt.HasLen, 1, qt.Commentf("then it is given up"))
}

func TestPlanWhoseOrderHasNoAnswerIsGivenUpInTime(t *testing.T) {
	s, p, given := planned(t)
	p.RecordOutcome(given[0], Taken, s.now.Add(joinGrace/2))
	p.RecordOutcome(given[1], Unknown, s.now.Add(joinGrace/2))
	s.after(joinGrace+time.Millisecond, p)
	qt.Check(t, p.ended, qt.HasLen, 1)
}

func TestHeadThatHasTakenTheOrderToOpenIsGivenTime(t *testing.T) {
	s, p, given := planned(t)
	for _, pl := range p.plans {
		p.RecordOutcome(Order{Kind: Open, Endpoint: given[0].Endpoint, Group: pl.name, Epoch: pl.epoch}, Taken, s.now.Add(joinGrace/2))
	}
	qt.Check(t, s.after(joinGrace+time.Millisecond, p), qt.Equals, 1)
	s.after(openTimeout, p)
	qt.Check(t, p.ended, qt.HasLen, 1)
}
