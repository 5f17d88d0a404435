package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal for lack of capacity. Groups that have lost a member
	// are formed again within one to two seconds. Callers cap their wait at a third of their own timeout, which is two seconds
	// for the usual timeout of six.
	minRetryAfter = 600 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRefusalGap is the longest time between two refusals of the same shortage.
	maxRefusalGap = 500 * time.Millisecond
)

// shortages tracks how long each kind of shortage has caused refusals. A shortage of unknown length is likely to last as long
// again as it has lasted so far, so that time is the Retry-After of a refused caller.
type shortages struct {
	mu   sync.Mutex
	runs map[string]refusalSeries // by kind of shortage
}

// refusalSeries holds the times of the first and the last of a series of refusals with no gap longer than maxRefusalGap.
type refusalSeries struct{ first, last time.Time }

// recordRefusal records a refusal because of the named shortage and returns its Retry-After.
func (s *shortages) recordRefusal(shortage string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]refusalSeries)
	}
	r, known := s.runs[shortage]
	if !known || now.Sub(r.last) > maxRefusalGap {
		r.first = now
	}
	r.last = now
	s.runs[shortage] = r
	return min(max(now.Sub(r.first), minRetryAfter), maxRetryAfter)
}

// retryJitter is the largest fraction of a wait that is added at random, so that callers that wait for the same moment do not
// all retry at once.
const retryJitter = 0.25

// addJitter returns wait extended by a random part of up to retryJitter of it.
func addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait)) //nolint:gosec // jitter need not be unpredictable
}
