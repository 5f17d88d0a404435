package entry

import "sync"

const (
	// retryRatio is the number of retries earned by each request.
	retryRatio = 0.08
	// maxSavedRetries is the maximum number of unused retries that the budget holds.
	maxSavedRetries = 10
)

// retryBudget limits the number of retries to a fraction of the number of requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// recordRequest adds retryRatio of a retry to the budget.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retryRatio)
}

// tryTake takes one retry from the budget and reports whether one was available.
func (b *retryBudget) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
