package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Seen: a head was taken for dead that no node heard, though it served on: packets to and from its data centre passed one
// way only, and the nodes there, who heard it, could not be asked. Its group's members joined others.
func TestDataCentreWhoseNodesAreNotHeardIsOutOfSight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(15)
		qt.Check(t, f.settled(14), qt.IsTrue)
		asks, dark := f.nodes[0], f.nodes[1].Self().Zone
		qt.Check(t, asks.OutOfSight(dark, time.Now()), qt.IsFalse)
		for i, n := range f.nodes {
			if n.Self().Zone == dark {
				f.lose(i)
			}
		}
		time.Sleep(4 * time.Second)
		qt.Check(t, asks.OutOfSight(dark, time.Now()), qt.IsTrue)
		qt.Check(t, asks.OutOfSight(f.nodes[2].Self().Zone, time.Now()), qt.IsFalse)
		qt.Check(t, asks.OutOfSight(asks.Self().Zone, time.Now()), qt.IsFalse)
		qt.Check(t, asks.OutOfSight("none has ever been there", time.Now()), qt.IsFalse)
		time.Sleep(time.Minute)
		qt.Check(t, asks.OutOfSight(dark, time.Now()), qt.IsFalse, qt.Commentf("its nodes are gone for good"))
		f.end()
	})
}
