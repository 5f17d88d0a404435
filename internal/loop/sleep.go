package loop

import (
	"context"
	"time"
)

// Sleep waits that long, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { SleepOr(ctx, d, nil) }

// SleepOr waits that long, until something arrives on wake or it is closed, or until ctx ends. It reports whether it was
// wake that ended the wait.
//
// Loops wait here rather than on a timer of their own that may be overdue when they come back to it: the race detector's
// runtime crashes when goroutines of one synctest bubble receive from overdue timers at the same moment.
func SleepOr(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		return true
	}
	return false
}
