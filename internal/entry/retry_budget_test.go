package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func exhaustRetries(b *retryBudget, now time.Time) int {
	n := 0
	for b.tryTake(now) {
		n++
	}
	return n
}

// Guards against a process that starts again and again and retries as much each time as the one before it.
func TestRetriesOfProcessesThatStartAgainAreThoseOfOne(t *testing.T) {
	start := time.Unix(1000, 0)
	one := exhaustRetries(newRetryBudget(start), start.Add(retryFillTime))
	qt.Check(t, one, qt.Equals, maxSavedRetries)
	restarts := 0
	for i := range 10 {
		at := start.Add(time.Duration(i) * retryFillTime / 10)
		restarts += exhaustRetries(newRetryBudget(at), at.Add(retryFillTime/10))
	}
	qt.Check(t, restarts <= one, qt.IsTrue, qt.Commentf("%d retries by ten processes, %d by one", restarts, one))
}

func TestRequestsEarnRetries(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newRetryBudget(start)
	now := start.Add(time.Hour)
	exhaustRetries(b, now)
	for range 100 {
		b.recordRequest(now)
	}
	qt.Check(t, exhaustRetries(b, now), qt.Equals, int(100*retryRatio))
	for range 1000 {
		b.recordRequest(now)
	}
	qt.Check(t, exhaustRetries(b, now), qt.Equals, maxSavedRetries)
}
