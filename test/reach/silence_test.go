package reach

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against ending the group of an endpoint that falls silent for a second and goes on.
func TestGroupSurvivesAMemberThatIsSilentForASecond(t *testing.T) {
	const silence = 1200 * time.Millisecond
	f := newFleet(t)
	before := f.groupNames()
	for _, w := range f.platform.Workers()[:4] {
		w.Freeze(silence)
		f.load(silence+500*time.Millisecond, f.nodes...)
		time.Sleep(time.Second)
	}
	for n, s := range f.load(loadTime, f.nodes...) {
		qt.Check(t, s.served, qt.Equals, s.sent, qt.Commentf(n.vm))
	}
	qt.Check(t, f.groupNames(), qt.DeepEquals, before)
}

// Guards against ending every group, and with them their answers, when all endpoints fall silent together for some seconds and go on.
func TestGroupsSurviveASilenceOfAllEndpoints(t *testing.T) {
	const silence = 3000 * time.Millisecond
	f := newFleet(t)
	before := f.groupNames()
	for range 2 {
		for _, w := range f.platform.Workers() {
			w.Freeze(silence)
		}
		for n, s := range f.load(silence, f.nodes...) {
			t.Logf("%s: served %d of %d", n.vm, s.served, s.sent)
		}
		time.Sleep(time.Second)
	}
	for n, s := range f.load(loadTime, f.nodes...) {
		qt.Check(t, s.served, qt.Equals, s.sent, qt.Commentf(n.vm))
	}
	qt.Check(t, f.groupNames(), qt.DeepEquals, before)
}
