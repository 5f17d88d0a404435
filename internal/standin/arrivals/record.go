// Package arrivals records what the endpoints of a service receive, and compares the retries among it with the limits on
// retries.
package arrivals

import (
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/retry"
)

// Record holds when callers sent requests for a service and when retries of these arrived at its endpoints. It may be used by
// several goroutines at a time.
type Record struct {
	mu       sync.Mutex
	requests []time.Time
	retries  []time.Time
}

// AddRequest records a request of a caller.
func (r *Record) AddRequest(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, at)
}

// AddRetry records an arrival beyond the first of its request.
func (r *Record) AddRetry(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries = append(r.retries, at)
}

// Count returns the numbers of requests and retries.
func (r *Record) Count() (requests, retries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests), len(r.retries)
}

// Worst is a window with its retries and the number allowed.
type Worst struct {
	End     time.Time
	Retries int
	Allowed float64
}

// Exceeds reports whether the window has more retries than allowed.
func (w Worst) Exceeds() bool { return float64(w.Retries) > w.Allowed }

// WorstWindow returns the window with the most retries in proportion to the number allowed: the slack, and the ratio of the
// requests in that window, in the one before it, or in the one that begins half a window earlier, whichever has most.
func (r *Record) WorstWindow(l retry.Limits) Worst {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.requests, time.Time.Compare)
	slices.SortFunc(r.retries, time.Time.Compare)
	worst := Worst{Allowed: 1}
	for i, end := range r.retries {
		if i+1 < len(r.retries) && r.retries[i+1].Equal(end) {
			continue
		}
		requests := 0
		for _, earlier := range []time.Duration{0, l.Window / 2, l.Window} {
			requests = max(requests, countWithin(r.requests, end.Add(-earlier), l.Window))
		}
		w := Worst{End: end, Retries: countWithin(r.retries, end, l.Window), Allowed: l.Ratio*float64(requests) + l.Slack}
		if float64(w.Retries)*worst.Allowed > float64(worst.Retries)*w.Allowed {
			worst = w
		}
	}
	return worst
}

// countWithin returns the number of the sorted times that lie in the window of the given length that ends at end.
func countWithin(sorted []time.Time, end time.Time, window time.Duration) int {
	until := func(t time.Time) int {
		n, _ := slices.BinarySearchFunc(sorted, t, func(at, t time.Time) int {
			if at.After(t) {
				return 1
			}
			return -1
		})
		return n
	}
	return until(end) - until(end.Add(-window))
}
