package clock

import "time"

// SetSuspendedForTest makes read the source of how long the machine has been suspended, until restore is
// called. It is for tests, which cannot suspend the machine.
func SetSuspendedForTest(read func() time.Duration) (restore func()) {
	previousRead := readSuspended.Load()
	previousFirst, previousLatest := firstSuspended.Load(), latestSuspended.Load()
	simulated := func() (time.Duration, bool) { return read(), true }
	readSuspended.Store(&simulated)
	firstSuspended.Store(int64(read()))
	latestSuspended.Store(int64(read()))
	return func() {
		readSuspended.Store(previousRead)
		firstSuspended.Store(previousFirst)
		latestSuspended.Store(previousLatest)
	}
}
