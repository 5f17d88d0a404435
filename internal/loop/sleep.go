package loop

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { SleepOrWake(ctx, d, nil) }

// SleepOrWake waits for d, until a value arrives on wake or wake is closed, or until ctx ends. It reports whether wake ended the
// wait.
//
// Loops call this rather than keep a timer of their own, which may be overdue when they next wait for it: the race detector's
// runtime crashes when goroutines of one synctest bubble receive from overdue timers at the same instant.
func SleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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
