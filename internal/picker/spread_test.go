package picker

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

func TestChoicesOfManyNodesAreSpreadOverGroups(t *testing.T) {
	// Sixty nodes choose between the same groups on the same loads, of which one is a little lower.
	groups := []string{"a", "b", "c", "d"}
	var list []*endpoint.Endpoint
	for _, g := range groups {
		list = append(list, &endpoint.Endpoint{ID: g, Service: "lm", Models: []string{"m"}, Membership: &endpoint.Membership{Group: g, Epoch: 1, State: endpoint.Open}})
	}
	d := endpoint.NewDirectory()
	d.Apply(list, nil, time.Now())
	others := gossip.NewTotals()
	others.Loads = gossip.Loads{gossip.KeyOf("a"): 9, gossip.KeyOf("b"): 10, gossip.KeyOf("c"): 10, gossip.KeyOf("d"): 10}
	others.Demands = map[string]gossip.Demand{"m": {Running: 39}}
	choices := func(lag time.Duration) map[string]int {
		out := make(map[string]int)
		for node := range 60 {
			p := New(Options{
				Directory: d, Others: func(time.Time) *gossip.Totals { return others }, Lag: func() time.Duration { return lag },
				Retiring: func(time.Time) map[string]bool { return nil },
			})
			p.random = uint64(node) << 33
			p.held["m"] = time.Second
			place, err := p.Acquire(context.Background(), &Want{Service: "lm", Model: "m", Slots: 20, Size: 1})
			qt.Assert(t, err, qt.IsNil)
			out[place.Group]++
		}
		return out
	}
	qt.Check(t, choices(50 * time.Millisecond)["a"], qt.Equals, 60, qt.Commentf("what is seen is nearly all there is"))
	for group, n := range choices(400 * time.Millisecond) {
		qt.Check(t, n < 40, qt.IsTrue, qt.Commentf("%s gets %d", group, n))
	}
}
