package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
)

func TestClockContinuesDuringSuspension(t *testing.T) {
	var suspended atomic.Int64
	suspended.Store(int64(time.Hour)) // before the process started
	defer clock.SetSuspendedForTest(func() time.Duration { return time.Duration(suspended.Load()) })()
	began := clock.Now()
	qt.Check(t, clock.Since(began) < time.Minute, qt.IsTrue, qt.Commentf("suspensions before the process started do not count"))
	end := began.Add(10 * time.Second)
	suspended.Add(int64(7 * time.Second))
	qt.Check(t, clock.Since(began) >= 7*time.Second, qt.IsTrue)
	left := clock.Until(end)
	qt.Check(t, left > 0 && left <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", left))
	ctx, cancel := clock.WithDeadline(context.Background(), end)
	defer cancel()
	deadline, _ := ctx.Deadline()
	qt.Check(t, time.Until(deadline) <= 3*time.Second, qt.IsTrue)
}

func TestClockIsMonotonic(t *testing.T) {
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
