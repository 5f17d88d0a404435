package entry

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries earned by each request.
	retryRatio = 0.08
	// maxSavedRetries is the maximum number of unused retries that the budget holds.
	maxSavedRetries = 10
	// retryFillTime is the time in which the budget of a new process fills without requests. The process before it may just have
	// used all of its retries.
	retryFillTime = 10 * time.Second
)

// retryBudget limits the number of retries to a fraction of the number of requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time // until when the budget has been filled
	full   time.Time // end of retryFillTime
}

// newRetryBudget returns the budget of a process that was started at start.
func newRetryBudget(start time.Time) *retryBudget {
	return &retryBudget{filled: start, full: start.Add(retryFillTime)}
}

// recordRequest adds retryRatio of a retry to the budget.
func (b *retryBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = min(maxSavedRetries, b.tokens+retryRatio)
}

// tryTake takes one retry from the budget and reports whether one was available.
func (b *retryBudget) tryTake(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the retries of the part of retryFillTime that has passed since it was last called.
func (b *retryBudget) fill(now time.Time) {
	if now.After(b.full) {
		now = b.full
	}
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens = min(maxSavedRetries, b.tokens+maxSavedRetries*passed.Seconds()/retryFillTime.Seconds())
		b.filled = now
	}
}
