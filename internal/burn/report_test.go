package burn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/config"
)

func counts(t *testing.T, vm string) burn.NodeCounts {
	r := burn.NewRecorder(func(string, string) (config.Objective, bool) {
		return config.Objective{Service: "m", Availability: 0.9, LatencyMS: 100}, true
	})
	for i := range 20 {
		r.Record("w", "m", burn.Outcome{Failed: i == 0, Latency: time.Duration(10*i) * time.Millisecond})
	}
	return burn.NodeCounts{VM: vm, Incarnation: "1", Services: r.Snapshot(), Losses: []burn.GroupLosses{{Workspace: "w", DowntimeSeconds: 2}}}
}

func TestMergeCountsEachNodeOnce(t *testing.T) {
	a, b := counts(t, "a"), counts(t, "b")
	r := burn.Merge([]burn.NodeCounts{a, b, a})
	qt.Assert(t, r.Nodes, qt.Equals, 2)
	qt.Assert(t, r.Services, qt.HasLen, 1)
	s := r.Services[0]
	qt.Check(t, s.Burn[0].Total, qt.Equals, int64(40))
	qt.Check(t, s.Burn[0].Bad, qt.Equals, int64(20), qt.Commentf("1 failed and 9 late of 20, on each of 2 nodes"))
	qt.Check(t, s.Burn[0].Rate > 4.99 && s.Burn[0].Rate < 5.01, qt.IsTrue, qt.Commentf("half bad where a tenth is allowed"))
	qt.Check(t, r.Losses[0].DowntimeSeconds, qt.Equals, 4.0)
	qt.Check(t, s.LatencyP50 >= 90 && s.LatencyP50 <= 110, qt.IsTrue)
}
