package picker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/picker"
)

// TestPromptIsUnreadUntilItsRequestBegins guards against prompts that stay counted after their request has begun, failed or been
// given up, and against prompts that are subtracted twice.
func TestPromptIsUnreadUntilItsRequestBegins(t *testing.T) {
	unread := func(f *fleet) int {
		var s gossip.Status
		f.picker.Report(&s, time.Now())
		return s.Unread.At("a-0")
	}
	for name, end := range map[string]func(p *picker.Place){
		"first event": func(p *picker.Place) { p.RecordFirstEvent(time.Millisecond, time.Now()) },
		"failure":     func(p *picker.Place) { p.RecordFailure(false, time.Now()) },
		"refusal":     func(p *picker.Place) { p.RecordRefusal(time.Now()) },
		"release":     func(p *picker.Place) { p.Release() },
	} {
		f := newFleet()
		f.group("a", "near", endpoint.Open, endpoint.Ready)
		w := requirements()
		w.PromptTokens = 700
		first := f.acquire(t, w)
		f.acquire(t, w)
		qt.Check(t, unread(f), qt.Equals, 1400)
		first.RecordStall(time.Now())
		qt.Check(t, unread(f), qt.Equals, 1400, qt.Commentf("a prompt at a group that stalls is still unread"))
		end(first)
		qt.Check(t, unread(f), qt.Equals, 700, qt.Commentf(name))
		first.RecordEvent(time.Millisecond, time.Now())
		first.Release()
		qt.Check(t, unread(f), qt.Equals, 700, qt.Commentf("%s, then release", name))
	}
}

func TestPromptOfUnknownLengthCountsAsTheMean(t *testing.T) {
	f := newFleet()
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	w := requirements()
	w.PromptTokens = 500
	f.acquire(t, w).Release()
	f.acquire(t, requirements())
	var s gossip.Status
	f.picker.Report(&s, time.Now())
	qt.Check(t, s.Unread.At("a-0") > 100 && s.Unread.At("a-0") < 500, qt.IsTrue, qt.Commentf("%d tokens", s.Unread.At("a-0")))
}
