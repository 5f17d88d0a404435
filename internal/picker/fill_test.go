package picker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/picker"
)

// limitedFleet returns a fleet with one group of four slots, where a first event is predicted after 1 s for each request that runs
// there and 1 ms for each token of the prompt.
func limitedFleet(t *testing.T) *fleet {
	f := newFleetWith(func(w *picker.Requirements, _ string, running int) (time.Duration, time.Duration, bool) {
		return time.Duration(running)*time.Second + time.Duration(w.PromptTokens)*time.Millisecond, time.Millisecond, true
	})
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.useTwenty(t)
	return f
}

// useTwenty uses twenty places one after another, after which the rate of releases is known.
func (f *fleet) useTwenty(t *testing.T) {
	for range 20 {
		f.acquire(t, requirements()).Release()
	}
}

func limitedRequirements(promptTokens int) *picker.Requirements {
	w := requirements()
	w.PromptTokens, w.Objective, w.Received = promptTokens, 2900*time.Millisecond, time.Now()
	w.InTimeWait, w.MaxWait = time.Minute, time.Minute
	return w
}

// Guards against groups that are filled up to their slots although their requests then miss their objectives.
func TestGroupIsFilledAsFarAsObjectivesAreMet(t *testing.T) {
	f := limitedFleet(t)
	var held []*picker.Place
	for range 3 { // the third is predicted after 2 s, the fourth after 3 s
		held = append(held, f.acquire(t, limitedRequirements(0)))
	}
	got := acquireAsync(f, limitedRequirements(0), 1)
	qt.Check(t, len(got), qt.Equals, 0)
	held[0].Release()
	qt.Check(t, (<-got).Group, qt.Equals, "a")
}

// Guards against a group at which the gaps of the running requests become too long.
func TestGroupIsFilledAsFarAsGapsAreShort(t *testing.T) {
	f := newFleetWith(func(_ *picker.Requirements, _ string, running int) (time.Duration, time.Duration, bool) {
		return 0, time.Duration(running) * 100 * time.Millisecond, true
	})
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	f.useTwenty(t)
	w := limitedRequirements(0)
	w.GapObjective = 150 * time.Millisecond
	f.acquire(t, w)
	f.acquire(t, w)
	qt.Check(t, len(acquireAsync(f, w, 1)), qt.Equals, 0)
}

// Guards against a long prompt that waits for an emptier group and keeps short prompts from a place at which they would be in time.
func TestLongPromptDoesNotHoldUpShortOnes(t *testing.T) {
	f := limitedFleet(t)
	f.acquire(t, limitedRequirements(0))
	f.acquire(t, limitedRequirements(0))
	long := acquireAsync(f, limitedRequirements(2000), 1)
	f.acquire(t, limitedRequirements(0))
	qt.Check(t, len(long), qt.Equals, 0)
}

// Guards against refusals while slots are free and nobody waits, and against late requests that fill a group for which others wait.
func TestSlotsBeyondTheObjectiveAreUsedIfNobodyWaits(t *testing.T) {
	f := limitedFleet(t)
	hopeless := limitedRequirements(10000)
	hopeless.InTimeWait = 1
	qt.Check(t, f.acquire(t, hopeless).Group, qt.Equals, "a")
	f.acquire(t, limitedRequirements(0))
	f.acquire(t, limitedRequirements(0))
	acquireAsync(f, limitedRequirements(0), 1)
	late := limitedRequirements(10000)
	late.InTimeWait, late.MaxWait = 1, time.Millisecond
	_, err := f.picker.Acquire(context.Background(), late)
	qt.Check(t, errors.Is(err, picker.ErrNoPlace), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a wait beside free slots where it is not known whether another place will become free.
func TestSlotsBeyondTheObjectiveAreUsedIfReleasesAreUnknown(t *testing.T) {
	f := newFleetWith(func(*picker.Requirements, string, int) (time.Duration, time.Duration, bool) {
		return time.Hour, 0, true
	})
	f.group("a", "near", endpoint.Open, endpoint.Ready)
	began := time.Now()
	for range 4 {
		f.acquire(t, limitedRequirements(0))
	}
	qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue, qt.Commentf("MaxWait is a minute"))
}

// Guards against a limit where nothing is predicted, and for repeated attempts, whose request may not be refused any more.
func TestOnlyPredictedFirstAttemptsAreLimited(t *testing.T) {
	unknown := newFleetWith(func(*picker.Requirements, string, int) (time.Duration, time.Duration, bool) { return 0, 0, false })
	unknown.group("a", "near", endpoint.Open, endpoint.Ready)
	repeated := limitedFleet(t)
	for range 4 {
		unknown.acquire(t, limitedRequirements(0))
		w := limitedRequirements(0)
		w.InTimeWait = 0
		repeated.acquire(t, w)
	}
}
