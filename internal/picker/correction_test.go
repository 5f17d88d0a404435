package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

// TestCorrectionDecays guards against a group that was slow once being avoided for good.
func TestCorrectionDecays(t *testing.T) {
	var c correction
	now := time.Now()
	for range 30 {
		c.observe(400*time.Millisecond, 100*time.Millisecond, now)
	}
	slow := c.factor(now)
	qt.Check(t, slow > 3.9 && slow <= 4, qt.IsTrue, qt.Commentf("%v", slow))
	later := c.factor(now.Add(3 * correctionDecay))
	qt.Check(t, later > 1 && later < 1.2, qt.IsTrue, qt.Commentf("%v", later))
}

func TestCorrectionIsAtLeastOne(t *testing.T) {
	var c correction
	now := time.Now()
	c.observe(10*time.Millisecond, 100*time.Millisecond, now)
	c.observe(time.Second, 0, now) // nothing was predicted
	qt.Check(t, c.factor(now), qt.Equals, 1.0)
}

// TestCorrectionIsResetForARestartedGroup guards against a new group being avoided for the slowness of an earlier one of its name.
func TestCorrectionIsResetForARestartedGroup(t *testing.T) {
	p, now := New(Options{}), time.Now()
	c := candidate{group: "g", endpoint: &endpoint.Endpoint{Membership: &endpoint.Membership{Group: "g", Epoch: 1}}}
	p.healthOf("g", now).correction.observe(time.Second, 100*time.Millisecond, now)
	qt.Check(t, p.correctionOf(&c, now) > 2, qt.IsTrue, qt.Commentf("observed before the second choice of the group"))
	c.endpoint.Membership.Epoch = 2
	qt.Check(t, p.correctionOf(&c, now), qt.Equals, 1.0)
}
