package reach

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/paths"
)

const (
	// detectionTime is how long after a cut requests may fail at the nodes that it affects.
	detectionTime = 3 * time.Second
	loadTime      = 2 * time.Second
)

// cuts are the ways in which paths are lost.
var cuts = []struct {
	name string
	mode paths.Mode
}{{"refused", paths.Refused}, {"silent", paths.Silent}, {"reset", paths.Reset}}

// checkServedThroughOthers cuts nodes off from all endpoints, under load, and checks that after detectionTime at least two
// thirds of the requests to each of them are served.
func (f *fleet) checkServedThroughOthers(mode paths.Mode, cut []*node) {
	f.t.Helper()
	for _, n := range cut {
		f.paths.Set(n.vm, mode, nil)
	}
	f.load(detectionTime, f.nodes...)
	for n, s := range f.load(loadTime, f.nodes...) {
		qt.Check(f.t, 3*s.served >= 2*s.sent, qt.IsTrue, qt.Commentf("%s served %d of %d", n.vm, s.served, s.sent))
	}
	for _, n := range cut {
		f.paths.Set(n.vm, paths.Open, nil)
	}
}

// Guards against refusing callers at a node that has lost its path to all endpoints while other nodes reach them.
func TestNodesWithoutAPathToEndpointsServeThroughOthers(t *testing.T) {
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.checkServedThroughOthers(c.mode, f.leaderFirst()[1:3])
		})
	}
}

// Guards against a leader that takes the loss of its own paths for the end of the endpoints.
func TestGroupsSurviveALeaderWithoutAPathToEndpoints(t *testing.T) {
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			before := f.groupNames()
			f.checkServedThroughOthers(c.mode, f.leaderFirst()[:1])
			qt.Check(t, f.groupNames(), qt.DeepEquals, before)
		})
	}
}

// Guards against an endpoint that counts as ended because the leader and some of the nodes that it asks are refused, so that the
// members of its group join another one while it serves.
func TestGroupsSurviveEndpointsThatHalfOfTheNodesReach(t *testing.T) {
	for _, c := range cuts {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			before := f.groupNames()
			position := make(map[string]int)
			for i, w := range f.platform.Workers() {
				position[w.Address()] = i
			}
			for i, n := range f.leaderFirst() {
				f.paths.Set(n.vm, c.mode, func(address string) bool { return (position[address]/2+i)%2 == 0 })
			}
			f.load(detectionTime, f.nodes...)
			for n, s := range f.load(loadTime, f.nodes...) {
				qt.Check(t, 3*s.served >= 2*s.sent, qt.IsTrue, qt.Commentf("%s served %d of %d", n.vm, s.served, s.sent))
			}
			qt.Check(t, f.groupNames(), qt.DeepEquals, before)
		})
	}
}
