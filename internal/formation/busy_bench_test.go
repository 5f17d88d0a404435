package formation

import (
	"fmt"
	"testing"
)

// BenchmarkBusyStep measures a step of the leader of a large fleet while both models are under pressure and a tenth of the
// endpoints are empty and wait for loads.
func BenchmarkBusyStep(b *testing.B) {
	for _, domains := range []int{82, 246} {
		s := &fleetListing{demand: map[string]int{"big": 38 * domains, "small": 50 * domains}}
		for d := range domains {
			domain := fmt.Sprint("d", d)
			for g := range 6 {
				s.group(fmt.Sprint(domain, "-big", g), domain, "big", "", 3)
				s.group(fmt.Sprint(domain, "-small", g), domain, "small", "", 2)
			}
			for range 7 {
				s.add(domain, "", "")
			}
		}
		b.Run(fmt.Sprint(len(s.entries)), func(b *testing.B) {
			p := s.newSettledPlanner()
			v := s.view()
			for b.Loop() {
				p.Step(v)
			}
		})
	}
}
