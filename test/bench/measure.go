package main

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencies is a histogram of durations that is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // microseconds
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Microseconds()))
}

// percentileMS returns a percentile, 0 to 100, in milliseconds.
func (l *latencies) percentileMS(percentile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(percentile)) / 1000
}

func (l *latencies) meanMS() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.Mean() / 1000
}

// closedLoop runs concurrent callers for a duration, each starting a call when its previous one has ended. It returns the numbers
// of successful calls and of all calls.
func closedLoop(callers int, d time.Duration, call func(caller int) bool) (succeeded, all int64) {
	var ok, total atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i := range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				if call(i) {
					ok.Add(1)
				}
				total.Add(1)
			}
		})
	}
	group.Wait()
	return ok.Load(), total.Load()
}

// openLoop starts calls at a fixed rate for a duration, whether or not earlier calls have ended, and waits until all have ended.
func openLoop(perSecond float64, d time.Duration, call func(n int)) {
	var group sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		at := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		if at.Sub(start) > d {
			break
		}
		time.Sleep(time.Until(at))
		group.Go(func() { call(n) })
	}
	group.Wait()
}
