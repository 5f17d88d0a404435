package holder_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/lease"
)

// A holder that was suspended for longer than its lease wakes with its monotonic clock as it was; another may hold it now.
func TestLeaseRunsOutWhileTheMachineIsSuspended(t *testing.T) {
	var asleep atomic.Int64
	defer clock.Pretend(func() time.Duration { return time.Duration(asleep.Load()) })()
	l := lease.New("a", 1500*time.Millisecond, 150*time.Millisecond)
	l.Observed(0, lease.Record{}, clock.Now())
	_, record, _ := l.Next(clock.Now(), true, "op")
	l.Sending(record, clock.Now())
	l.Applied(1, record, clock.Now())
	_, _, held := l.Held(clock.Now())
	qt.Check(t, held, qt.IsTrue)
	asleep.Add(int64(2 * time.Second))
	_, _, held = l.Held(clock.Now())
	qt.Check(t, held, qt.IsFalse)
}
