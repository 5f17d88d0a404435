package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/picker"
)

// Guards against requests that wait for places although they could not be answered in time there.
func TestInTimeWaitLeavesTimeForTheFirstEvent(t *testing.T) {
	w := &picker.Requirements{
		Slots: 30, PromptTokens: 700, Objective: 200 * time.Millisecond,
		Engine: engine.Model{Figures: engine.Figures{ReadPerSecond: 20000, Step: 10 * time.Millisecond}},
	}
	a := &activeRequest{request: &Request{Received: clock.Now()}}
	wait := a.inTimeWait(w)
	qt.Check(t, wait > 50*time.Millisecond && wait <= 165*time.Millisecond, qt.IsTrue, qt.Commentf("reading the prompt takes 35 ms: %s", wait))
	a.request.Received = clock.Now().Add(-time.Second)
	qt.Check(t, a.inTimeWait(w), qt.Equals, time.Duration(1), qt.Commentf("the objective has passed"))
}
