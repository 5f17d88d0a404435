package holder_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/lease"
)

// The monotonic clock does not advance while the VM is suspended. A holder suspended for longer than its lease
// must treat the lease as expired after the resume, since another node may hold it by then.
func TestLeaseRunsOutWhileTheMachineIsSuspended(t *testing.T) {
	var suspended atomic.Int64
	defer clock.SetSuspendedForTest(func() time.Duration { return time.Duration(suspended.Load()) })()
	l := lease.New("a", 1500*time.Millisecond, 150*time.Millisecond)
	l.Observed(0, lease.Record{}, clock.Now())
	_, record, _ := l.Next(clock.Now(), true, "op")
	l.Sending(record, clock.Now())
	l.Applied(1, record, clock.Now())
	_, _, held := l.Held(clock.Now())
	qt.Check(t, held, qt.IsTrue)
	suspended.Add(int64(2 * time.Second))
	_, _, held = l.Held(clock.Now())
	qt.Check(t, held, qt.IsFalse)
}
