package readers_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/readers"
)

const stallTime = 5 * time.Second

var origin = time.Unix(1000, 0)

// play runs a blocked write to a caller that accepts bytes at the given times after its start, up to limit. It returns when the
// caller was cut, and the error, or nil if it was not.
func play(accepts []time.Duration, end, limit time.Duration) (time.Duration, error) {
	endAt := time.Time{}
	if end > 0 {
		endAt = origin.Add(end)
	}
	w := readers.NewStall(stallTime).Begin(endAt, origin)
	now := time.Duration(0)
	for now < limit {
		wait, err := w.Check(origin.Add(now))
		if err != nil {
			return now, err
		}
		accepted := false
		for _, a := range accepts {
			accepted = accepted || a > now && a <= now+wait
		}
		now += wait
		if accepted {
			w.Accepted(origin.Add(now))
		}
	}
	return now, nil
}

// Guards against a caller that reads nothing holding its endpoint's response longer than half of the endpoint's stall time.
func TestCallerThatAcceptsNothingIsCutWithinHalfTheStallTime(t *testing.T) {
	at, err := play(nil, 0, time.Minute)
	qt.Check(t, err, qt.ErrorIs, readers.ErrStalled)
	qt.Check(t, at > stallTime/3 && at <= stallTime/2, qt.IsTrue, qt.Commentf("cut after %v", at))
}

// Guards against the cut coming late or early for any pattern of progress.
func TestCutFollowsTheLastByte(t *testing.T) {
	stall := readers.NewStall(stallTime)
	rapid.Check(t, func(t *rapid.T) {
		var accepts []time.Duration
		last := time.Duration(0)
		for _, gap := range rapid.SliceOfN(rapid.IntRange(1, int(stall.Bound/time.Millisecond)), 0, 40).Draw(t, "gaps, ms") {
			last += time.Duration(gap) * time.Millisecond
			accepts = append(accepts, last)
		}
		at, err := play(accepts, 0, last+time.Minute)
		if err == nil || at-last < stall.Bound || at-last > stallTime/2 {
			t.Fatalf("the last byte was accepted at %v, the caller was cut at %v: %v", last, at, err)
		}
	})
}

// Guards against cutting answers of minutes by their whole duration, as a deadline over the whole answer does.
func TestSlowCallerIsServedUntilTheEndOfItsTime(t *testing.T) {
	var accepts []time.Duration
	for a := time.Second; a < 10*time.Minute; a += time.Second {
		accepts = append(accepts, a)
	}
	_, err := play(accepts, 0, 9*time.Minute)
	qt.Check(t, err, qt.IsNil)
	at, err := play(accepts, 4*time.Minute, 9*time.Minute)
	qt.Check(t, err, qt.ErrorIs, readers.ErrOverdue)
	qt.Check(t, at, qt.Equals, 4*time.Minute)
}
