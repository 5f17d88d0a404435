package formation

import (
	"fmt"
	"testing"
	"time"

	"moorrun.dev/moorrun/internal/engine"
)

// BenchmarkStep measures one step of the leader of a fleet of 222 endpoints, a sixth of them free, while both models
// are under pressure and no group can be formed.
func BenchmarkStep(b *testing.B) {
	s := &fleetListing{demand: map[string]int{"big": 230, "small": 300}}
	for d := range 6 {
		domain := fmt.Sprint("d", d)
		for g := range 5 {
			s.group(fmt.Sprint(domain, "-big", g), domain, "big", "small", 3)
			s.group(fmt.Sprint(domain, "-small", g), domain, "small", "big", 2)
		}
		for range 6 {
			s.add(domain, "", "")
		}
	}
	p := s.newSettledPlanner()
	v := s.view()
	v.Service.Engine.Figures = engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 50_000, Stride: 7}
	v.Mixes = map[string]engine.Mix{"small": longPrompts(1.5)}
	p.lastConversion = s.now.Add(time.Hour)
	for b.Loop() {
		p.Step(v)
	}
}
