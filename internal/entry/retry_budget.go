package entry

import "sync"

const (
	// retryPart is the part of requests that may be tried again.
	retryPart = 0.08
	// retryBurst is how many retries may be saved up.
	retryBurst = 10
)

// retryBudget bounds extra attempts to a part of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// request earns a part of a retry.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryPart)
}

// take spends one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
