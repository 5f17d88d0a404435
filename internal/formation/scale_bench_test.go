package formation

import (
	"fmt"
	"testing"
	"time"
)

// startingFleet returns a fleet of that many endpoints before the first request, a planner that may already form
// groups, and its view.
func startingFleet(endpoints int) (*fleetListing, *Planner, *View) {
	s := &fleetListing{}
	for i := range endpoints {
		s.add(fmt.Sprint("d", i/19), "", "")
	}
	p := s.newSettledPlanner()
	s.now = origin.Add(gatherTimeout)
	v := s.view()
	v.Busy = false
	return s, p, v
}

// BenchmarkFirstStep measures the step in which the leader of a starting fleet plans a group for nearly every endpoint.
func BenchmarkFirstStep(b *testing.B) {
	for _, endpoints := range []int{760, 3040, 9120} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				_, p, v := startingFleet(endpoints)
				b.StartTimer()
				p.Step(v)
			}
		})
	}
}

// BenchmarkStepWithPlans measures a step while the plans of BenchmarkFirstStep are carried out.
func BenchmarkStepWithPlans(b *testing.B) {
	for _, endpoints := range []int{760, 3040, 9120} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			s, p, v := startingFleet(endpoints)
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
