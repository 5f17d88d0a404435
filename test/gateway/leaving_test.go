package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leavingLatency is the time within which a node has to stop sending requests to an endpoint after passing on an answer in
// which the endpoint announced that it is leaving.
const leavingLatency = 2 * time.Second

// Guards against a node that keeps sending requests to an endpoint which announces in its answers, but not in the store, that
// it is leaving.
func TestEndpointWhoseAnswersSayThatItLeavesGetsNothingNew(t *testing.T) {
	for _, test := range endpointKinds {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			leaving := test.pick(f)
			before := len(f.platform.Arrivals(leaving.ID))
			leaving.AnnounceLeaving()
			send := func(*node) *result { return test.send(f, f.nodes[0]) }
			f.load(send, func() bool { return len(f.platform.Arrivals(leaving.ID)) > before })
			time.Sleep(leavingLatency)
			seen := len(f.platform.Arrivals(leaving.ID))
			start := time.Now()
			failed := f.load(send, func() bool { return time.Since(start) > leavingLatency })
			qt.Check(t, len(f.platform.Arrivals(leaving.ID))-seen, qt.Equals, 0, qt.Commentf("requests reach an endpoint that is leaving"))
			qt.Check(t, failed, qt.Equals, int64(0), qt.Commentf("requests failed although other endpoints had capacity"))
		})
	}
}
