package arrivals_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/standin/arrivals"
)

func TestWorstWindowIsFoundWhereRetriesAreMost(t *testing.T) {
	l := retry.Limits{Ratio: 0.5, Slack: 1, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	var r arrivals.Record
	for i := range 4 {
		r.AddRequest(start.Add(time.Duration(i) * time.Second))
	}
	r.AddRetry(start.Add(2 * time.Second))
	r.AddRetry(start.Add(12 * time.Second))
	r.AddRetry(start.Add(12 * time.Second))
	w := r.WorstWindow(l)
	qt.Check(t, w, qt.Equals, arrivals.Worst{End: start.Add(12 * time.Second), Retries: 2, Allowed: 3}, qt.Commentf("the first retry left the window when the others arrived"))
	qt.Check(t, w.Exceeds(), qt.IsFalse)
	for range 3 {
		r.AddRetry(start.Add(30 * time.Second))
	}
	w = r.WorstWindow(l)
	qt.Check(t, w, qt.Equals, arrivals.Worst{End: start.Add(30 * time.Second), Retries: 3, Allowed: 1}, qt.Commentf("no requests in the last windows"))
	qt.Check(t, w.Exceeds(), qt.IsTrue)
}
