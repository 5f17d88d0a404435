package formation

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
)

// A new leader that did not know the last peak ended groups in the trough of a wave that the next peak needed.
func TestNewLeaderKnowsThePeakFromBeforeItsTenure(t *testing.T) {
	leads, running := false, 60
	c := newTestController(&fakeEngine{}, func(now time.Time) (int64, time.Time, bool) { return 1, now.Add(time.Hour), leads })
	c.MayLead = func() bool { return true }
	c.PeerTotals = func(time.Time) *gossip.Totals {
		total := gossip.NewTotals()
		total.Demands["big"] = gossip.Demand{Running: running}
		return total
	}
	now := origin
	runSteps := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(stepInterval) {
			c.step(context.Background(), now)
		}
	}
	load := longestLoad(testService().Engine)
	runSteps(load)
	running = 20
	runSteps(load / 2)
	leads = true
	runSteps(2 * stepInterval)
	p := c.planners["lm"]
	qt.Assert(t, p, qt.IsNotNil)
	e := testService().Engine
	qt.Check(t, p.demand.peakKnown(now), qt.IsTrue)
	qt.Check(t, p.demand.peak(e, e.Models[0], now), qt.Equals, 6.0)
	qt.Check(t, p.demand.present(e, e.Models[0]) < 3, qt.IsTrue)
}

// A node that receives only part of the demand must not take it for that of the fleet when it starts to lead.
func TestNodeThatMayNotLeadForgetsTheDemand(t *testing.T) {
	mayLead := true
	c := newTestController(&fakeEngine{}, func(time.Time) (int64, time.Time, bool) { return 0, time.Time{}, false })
	c.MayLead = func() bool { return mayLead }
	c.step(context.Background(), origin)
	qt.Check(t, c.demands, qt.HasLen, 1)
	mayLead = false
	c.step(context.Background(), origin.Add(stepInterval))
	qt.Check(t, c.demands, qt.HasLen, 0)
}

// A gauge that keeps its last value after the node has stopped to follow the demand misleads operators.
func TestGroupsNeededAreZeroWithoutDemand(t *testing.T) {
	mayLead := true
	c := newTestController(&fakeEngine{}, func(time.Time) (int64, time.Time, bool) { return 0, time.Time{}, false })
	c.MayLead = func() bool { return mayLead }
	c.PeerTotals = func(time.Time) *gossip.Totals {
		total := gossip.NewTotals()
		total.Demands["small"] = gossip.Demand{Running: 30, Waiting: 10}
		return total
	}
	c.step(context.Background(), origin)
	qt.Check(t, c.GroupsNeeded(origin), qt.DeepEquals, []GroupsNeeded{{"lm", "big", 0.2, 0.2}, {"lm", "small", 4, 4}})
	mayLead = false
	c.step(context.Background(), origin.Add(stepInterval))
	qt.Check(t, c.GroupsNeeded(origin), qt.DeepEquals, []GroupsNeeded{{"lm", "big", 0, 0}, {"lm", "small", 0, 0}})
}
