package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a node that is cut off and takes the nodes that it does not hear for idle, so that it divides among few what
// all busy nodes share.
func TestNodesNotHeardCountAsBusyAsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 15
		f := newLargeFleet(size)
		qt.Assert(t, f.awaitSettled(size-1), qt.IsTrue)
		n := f.nodes[0]
		n.FleetSize = func(time.Time) int { return size }
		qt.Check(t, n.BusyCount(time.Now()), qt.Equals, 1, qt.Commentf("all nodes are heard, and none of the others is busy"))
		f.network.Split(1, f.ports[0])
		time.Sleep(4 * time.Second)
		qt.Check(t, n.BusyCount(time.Now()), qt.Equals, size, qt.Commentf("no other node is heard"))
		f.shutDown()
	})
}
