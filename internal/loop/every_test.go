package loop

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crash of the race detector's runtime when many loops of one synctest bubble are late at the same instant.
func TestManyLoopsThatAreLateTogether(t *testing.T) {
	const loops, steps = 500, 50
	const interval = time.Second
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range loops {
			all.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				left := steps
				Every(ctx, interval, func(time.Time) {
					time.Sleep(2 * interval)
					if left--; left == 0 {
						cancel()
					}
				})
			})
		}
		all.Wait()
	})
}

func TestEveryKeepsIntervals(t *testing.T) {
	const interval = time.Second
	for _, test := range []struct {
		about string
		takes []time.Duration // duration of each step
		want  []time.Duration // start of each step, relative to the start of the loop
	}{
		{"steps in time", []time.Duration{0, 500 * time.Millisecond, 0}, []time.Duration{0, interval, 2 * interval, 3 * interval}},
		{"an overlong step delays only the next one", []time.Duration{2500 * time.Millisecond, 0},
			[]time.Duration{0, 2500 * time.Millisecond, 3 * interval, 4 * interval}},
	} {
		t.Run(test.about, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var began []time.Duration
				Every(ctx, interval, func(time.Time) {
					step := len(began)
					began = append(began, time.Since(start))
					if step < len(test.takes) {
						time.Sleep(test.takes[step])
					}
					if len(began) == len(test.want) {
						cancel()
					}
				})
				qt.Check(t, began, qt.DeepEquals, test.want)
			})
		})
	}
}

func TestEveryOrWakeStepsImmediatelyOnWake(t *testing.T) {
	const interval = time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		wake := make(chan struct{}, 1)
		time.AfterFunc(300*time.Millisecond, func() { wake <- struct{}{} })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var began []time.Duration
		EveryOrWake(ctx, interval, wake, func(time.Time) {
			if began = append(began, time.Since(start)); len(began) == 3 {
				cancel()
			}
		})
		qt.Check(t, began, qt.DeepEquals, []time.Duration{0, 300 * time.Millisecond, interval})
	})
}

func TestOneLongStepDelaysTheNextByAFewIntervals(t *testing.T) {
	const interval, stepTime = 50 * time.Millisecond, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var starts []time.Time
		EveryOrWakeWithin(ctx, interval, 0.1, nil, func(now time.Time) {
			if starts = append(starts, now); len(starts) == 2 {
				cancel()
				return
			}
			time.Sleep(stepTime)
		})
		qt.Check(t, starts[1].Sub(starts[0]), qt.Equals, stepTime+maxRestIntervals*interval)
	})
}

func TestStepsTakeNoMoreThanTheirShare(t *testing.T) {
	const interval, stepTime, share = 50 * time.Millisecond, 4 * time.Millisecond, 0.25
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		wake := make(chan struct{}, 1)
		var waker sync.WaitGroup
		defer waker.Wait() // a bubble may not end before its goroutines
		waker.Go(func() {
			for ctx.Err() == nil {
				select {
				case wake <- struct{}{}:
				default:
				}
				time.Sleep(time.Millisecond)
			}
		})
		var busy time.Duration
		EveryOrWakeWithin(ctx, interval, share, wake, func(time.Time) {
			time.Sleep(stepTime)
			busy += stepTime
		})
		qt.Check(t, busy > 200*time.Millisecond && busy <= 256*time.Millisecond, qt.IsTrue, qt.Commentf("%v of a second", busy))
	})
}
