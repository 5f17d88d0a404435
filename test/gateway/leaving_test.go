package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leavingKnown is within what a node that has passed on an answer of an endpoint which leaves has to send it nothing more.
const leavingKnown = 2 * time.Second

// Guards against a node sending on to an endpoint whose answers say that it leaves, when the store does not say so.
func TestEndpointWhoseAnswersSayThatItLeavesGetsNothingNew(t *testing.T) {
	for _, test := range kinds {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			leaving := test.pick(f)
			before := len(f.estate.Arrivals(leaving.ID))
			leaving.AnnounceLeaving()
			ask := func(*node) *result { return test.ask(f, f.nodes[0]) }
			f.load(ask, func() bool { return len(f.estate.Arrivals(leaving.ID)) > before })
			time.Sleep(leavingKnown)
			known := len(f.estate.Arrivals(leaving.ID))
			loaded := time.Now()
			failed := f.load(ask, func() bool { return time.Since(loaded) > leavingKnown })
			qt.Check(t, len(f.estate.Arrivals(leaving.ID))-known, qt.Equals, 0, qt.Commentf("requests reach an endpoint that leaves"))
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests were not answered though others had room"))
		})
	}
}
