package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

func TestRemoteCostFallsAsMarginalLatencyRises(t *testing.T) {
	figures := engine.Figures{Step: 6 * time.Millisecond, ReadPerSecond: 50_000, Stride: 7}
	cost := func(perSecond, tokens float64, running int) float64 {
		others := gossip.NewTotals()
		others.Demands["m"] = gossip.Demand{Running: running, Mix: engine.Mix{PerSecond: perSecond, Tokens: perSecond * tokens, Squares: perSecond * tokens * tokens}}
		p := New(Options{})
		return p.remoteCost(&Requirements{Model: "m", Engine: engine.Model{Figures: figures}}, others, 10, time.Now())
	}
	short, long := cost(200, 100, 100), cost(200, 1000, 100)
	qt.Check(t, long < 1 && long < short, qt.IsTrue, qt.Commentf("cost with long prompts %v, with short ones %v", long, short))
	qt.Check(t, short <= defaultRemoteCost, qt.IsTrue)
	qt.Check(t, cost(2000, 1000, 100), qt.Equals, minRemoteCost, qt.Commentf("the groups cannot read prompts that fast"))
	qt.Check(t, cost(0, 0, 0), qt.Equals, defaultRemoteCost, qt.Commentf("the arrival rates are unknown"))
}
