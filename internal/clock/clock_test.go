package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
)

func TestClockGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	var asleep atomic.Int64
	asleep.Store(int64(time.Hour)) // before the process began
	defer clock.Pretend(func() time.Duration { return time.Duration(asleep.Load()) })()
	began := clock.Now()
	qt.Check(t, clock.Since(began) < time.Minute, qt.IsTrue, qt.Commentf("what was before does not count"))
	end := began.Add(10 * time.Second)
	asleep.Add(int64(7 * time.Second))
	qt.Check(t, clock.Since(began) >= 7*time.Second, qt.IsTrue)
	left := clock.Until(end)
	qt.Check(t, left > 0 && left <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", left))
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	deadline, _ := ctx.Deadline()
	qt.Check(t, time.Until(deadline) <= 3*time.Second, qt.IsTrue)
}

func TestClockNeverGoesBack(t *testing.T) {
	last := clock.Now()
	for range 100_000 {
		now := clock.Now()
		if now.Before(last) {
			t.Fatalf("%s after %s", now, last)
		}
		last = now
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
