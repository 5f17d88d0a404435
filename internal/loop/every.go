// Package loop repeats work until its context ends.
package loop

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// Every calls step at once and then at each interval until ctx ends. A step that takes longer than the interval
// delays the next; steps never run side by side.
func Every(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	EveryOr(ctx, interval, nil, step)
}

// EveryOr is Every that also calls step whenever something arrives on wake.
func EveryOr(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(now time.Time)) {
	due := clock.Now()
	for {
		now := clock.Now()
		if late := now.Sub(due); late >= 0 {
			due = due.Add(late - late%interval + interval)
		}
		step(now)
		SleepOr(ctx, clock.Until(due), wake)
		if ctx.Err() != nil {
			return
		}
	}
}
