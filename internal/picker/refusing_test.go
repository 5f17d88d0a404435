package picker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
)

func TestRefusingGroupIsAvoidedUntilItAnswers(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.group("b", "near", endpoint.Open, endpoint.Ready)
	refusing := f.acquire(t, requirements())
	now := time.Now().Add(time.Hour) // so that the back-off does not end during the test
	refusing.RecordRefusal(now)
	for range 4 {
		qt.Check(t, f.acquire(t, requirements()).Group, qt.Not(qt.Equals), refusing.Group)
	}
	qt.Check(t, f.acquire(t, requirements()).Group, qt.Equals, refusing.Group, qt.Commentf("the other group is full"))
	refusing.RecordFirstEvent(time.Millisecond, now)
	refusing.Release()
	groups := map[string]bool{}
	for range 3 {
		groups[f.acquire(t, requirements()).Group] = true
	}
	qt.Check(t, groups[refusing.Group], qt.IsTrue, qt.Commentf("the group has answered a request since"))
}
