package formation

import (
	"fmt"
	"testing"
	"time"
)

// starting returns a fleet of that many endpoints before the first request, a planner that may form groups of them, and
// what it sees.
func starting(endpoints int) (*estate, *Planner, *View) {
	s := &estate{}
	for i := range endpoints {
		s.add(fmt.Sprint("d", i/19), "", "")
	}
	p := s.settled()
	s.now = origin.Add(gatherTimeout)
	v := s.view()
	v.Busy = false
	return s, p, v
}

// BenchmarkFirstStep is the step in which the leader of a fleet that starts plans a group for nearly every endpoint.
func BenchmarkFirstStep(b *testing.B) {
	for _, endpoints := range []int{760, 3040, 9120} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				_, p, v := starting(endpoints)
				b.StartTimer()
				p.Step(v)
			}
		})
	}
}

// BenchmarkStepWithPlans is a step while the plans of BenchmarkFirstStep are being carried out.
func BenchmarkStepWithPlans(b *testing.B) {
	for _, endpoints := range []int{760, 3040, 9120} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			s, p, v := starting(endpoints)
			p.Step(v)
			s.now = s.now.Add(100 * time.Millisecond)
			v.Now = s.now
			for b.Loop() {
				p.Step(v)
			}
			b.ReportMetric(float64(len(p.plans)), "plans")
		})
	}
}
