// Package clock provides a monotonic clock that continues while the machine is suspended.
//
// The monotonic clock of the Go runtime stops during a suspension. After resuming, a process would still consider its lease
// held, its copy of the platform's store current and messages from others fresh, although all of them have aged by the duration
// of the suspension. Ages and expiry times that matter to other processes are therefore computed by Now, Since and Until. Deadlines of the
// runtime, such as those of a connection or context, follow the runtime's clock; compute them from durations of this package,
// never from its instants.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// minSuspension is the shortest suspension that is detected. The two system clocks cannot be read at the same instant, so smaller
// differences are noise; real suspensions last for seconds.
const minSuspension = 20 * time.Millisecond

var (
	// readSuspended returns how long the machine has been suspended since boot, and whether that could be read.
	readSuspended atomic.Pointer[func() (time.Duration, bool)]
	// firstSuspended is the first value of readSuspended and latestSuspended the largest one since, in nanoseconds.
	firstSuspended, latestSuspended atomic.Int64
)

func init() {
	read := systemSuspended
	readSuspended.Store(&read)
	if d, ok := read(); ok {
		firstSuspended.Store(int64(d))
		latestSuspended.Store(int64(d))
	}
}

// offset returns how long the machine has been suspended since the process started.
func offset() time.Duration {
	known := latestSuspended.Load()
	if d, ok := (*readSuspended.Load())(); ok && d-time.Duration(known) >= minSuspension {
		if latestSuspended.CompareAndSwap(known, int64(d)) {
			known = int64(d)
		} else {
			known = latestSuspended.Load()
		}
	}
	return time.Duration(known - firstSuspended.Load())
}

// Now returns the current time. Compare it only with other times from this package.
func Now() time.Time { return time.Now().Add(offset()) }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline returns a context that ends at t, delayed by the duration of any suspension of the machine before that.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(t))
}
