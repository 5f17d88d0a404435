// Package clock tells the time on a steady clock that goes on while the machine is suspended.
//
// The runtime's monotonic clock stands still then. A process that wakes would take its lease for held, its copy of the
// platform's store for current, and what others said before for fresh, each by as much as the suspension lasted. Ages and
// ends that matter to others are therefore told by Now, Since and Until. Deadlines of the runtime, such as those of a
// connection or of a context, count by the monotonic clock and take durations from here, never instants.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// least is the shortest suspension that is noticed. The two clocks of the system cannot be read at the same instant, and
// suspensions last for seconds.
const least = 20 * time.Millisecond

var (
	// suspended reads for how long the machine has been suspended since it was booted, and whether it could be read.
	suspended atomic.Pointer[func() (time.Duration, bool)]
	// first is what it read first, and latest the longest since.
	first, latest atomic.Int64
)

func init() {
	read := systemSuspended
	suspended.Store(&read)
	if d, ok := read(); ok {
		first.Store(int64(d))
		latest.Store(int64(d))
	}
}

// offset returns for how long the machine has been suspended since the process began.
func offset() time.Duration {
	known := latest.Load()
	if d, ok := (*suspended.Load())(); ok && d-time.Duration(known) >= least {
		if latest.CompareAndSwap(known, int64(d)) {
			known = int64(d)
		} else {
			known = latest.Load()
		}
	}
	return time.Duration(known - first.Load())
}

// Now returns the present instant. Instants of this package are compared with each other only.
func Now() time.Time { return time.Now().Add(offset()) }

// Since returns how long ago t was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline returns a context that ends at t, or later by as long as the machine is suspended meanwhile.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Until(t))
}
