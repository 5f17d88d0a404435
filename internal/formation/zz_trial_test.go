package formation

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for name, policy := range reservePolicies {
		if name != "expected" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var u, w, b, o, f, l, uw float64
			const n = 6
			for seed := range uint64(n) {
				h := newHardLoad(seed, t.Fatalf)
				h.planner.reserve = policy(h.planner)
				h.run(80 * time.Second)
				mean, longest := h.waitStats()
				l = max(l, longest)
				u, w, b, o, uw = u+h.unserved()/n, w+mean/n, b+h.blockingSeconds/n, o+h.overloaded.Seconds()/n, uw+h.urgentWaiting.Seconds()/n
				f += h.freeOverloaded.Seconds() / max(0.1, h.overloaded.Seconds()) / n
			}
			t.Logf("MEAN %s unserved %.2f %% wait %.2f longest %.1f urgent waiting %.0f s blocking %.0f over %.1f s free %.1f", name, 100*u, w, l, uw, b, o, f)
		})
	}
}
