package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/config"
)

func TestBalancerLeavesEndpointsAloneThatAskedForAPause(t *testing.T) {
	b := newBalancer()
	now := time.Unix(1000, 0)
	both := []config.Endpoint{{Name: "a"}, {Name: "b"}}
	b.pause("a", now.Add(time.Minute))
	b.pause("a", now.Add(time.Second)) // the longer one holds on
	qt.Check(t, b.pauseLeft(both, now), qt.Equals, time.Duration(0))
	for range 2 * config.DefaultEndpointPlaces {
		if e, ok := b.take(both, "", now); ok {
			qt.Check(t, e.Name, qt.Equals, "b")
		}
	}
	b.pause("b", now.Add(30*time.Second))
	qt.Check(t, b.pauseLeft(both, now), qt.Equals, 30*time.Second)
	_, ok := b.take(both, "", now)
	qt.Check(t, ok, qt.IsFalse)
	e, ok := b.take(both, "", now.Add(time.Minute))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, e.Name, qt.Equals, "a")
	qt.Check(t, b.pauseLeft(nil, now), qt.Equals, time.Duration(0))
}
