package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against declaring a group's head dead while it still serves. Packets to and from its data centre passed one way
// only, so no node elsewhere heard the head, and the nodes of that data centre, which did hear it, could not be asked.
// The members of its group then joined other groups.
func TestContactIsLostWithADataCentreWhoseNodesAreNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(15)
		qt.Check(t, f.awaitSettled(14), qt.IsTrue)
		observer, lostDataCentre := f.nodes[0], f.nodes[1].Self().DataCentre
		qt.Check(t, observer.LostContact(lostDataCentre, time.Now()), qt.IsFalse)
		for i, n := range f.nodes {
			if n.Self().DataCentre == lostDataCentre {
				f.disconnect(i)
			}
		}
		time.Sleep(4 * time.Second)
		qt.Check(t, observer.LostContact(lostDataCentre, time.Now()), qt.IsTrue)
		qt.Check(t, observer.LostContact(f.nodes[2].Self().DataCentre, time.Now()), qt.IsFalse)
		qt.Check(t, observer.LostContact(observer.Self().DataCentre, time.Now()), qt.IsFalse)
		qt.Check(t, observer.LostContact("none has ever been there", time.Now()), qt.IsFalse)
		time.Sleep(time.Minute)
		qt.Check(t, observer.LostContact(lostDataCentre, time.Now()), qt.IsFalse, qt.Commentf("its nodes were last live more than contactExpiry ago"))
		f.shutDown()
	})
}
