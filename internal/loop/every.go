// Package loop runs functions periodically until a context ends.
package loop

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

// Every calls step immediately and then once per interval until ctx ends. Calls never overlap: a step that takes longer than
// the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	EveryOrWake(ctx, interval, nil, step)
}

// EveryOrWake is like Every, but also calls step whenever a value arrives on wake.
func EveryOrWake(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(now time.Time)) {
	EveryOrWakeWithin(ctx, interval, 1, wake, step)
}

// maxRestIntervals limits the rest after one step, as a multiple of the interval.
const maxRestIntervals = 4

// EveryOrWakeWithin is like EveryOrWake, but steps take no more than the given share of the time, which is above 0 and at most 1:
// a step that takes long delays the next one, by maxRestIntervals at most, and values that arrive meanwhile cause one step.
func EveryOrWakeWithin(ctx context.Context, interval time.Duration, share float64, wake <-chan struct{}, step func(now time.Time)) {
	due := clock.Now()
	for {
		now := clock.Now()
		if late := now.Sub(due); late >= 0 {
			due = due.Add(late - late%interval + interval)
		}
		step(now)
		rest := time.Duration(float64(clock.Since(now)) * (1/share - 1))
		Sleep(ctx, min(rest, maxRestIntervals*interval))
		SleepOrWake(ctx, clock.Until(due), wake)
		if ctx.Err() != nil {
			return
		}
	}
}
