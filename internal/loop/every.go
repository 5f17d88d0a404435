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
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
