package queueing

import (
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

// Shortages tracks how long each kind of shortage has caused refusals. A shortage of unknown length is likely to last as long
// again as it has lasted so far, so that time is the Retry-After of a refused caller. It is the
// rule where the rate at which places become free is not known, as without any usable group. The zero value is ready for use.
type Shortages struct {
	mu   sync.Mutex
	runs map[string]refusalSeries // by kind of shortage
}

// refusalSeries holds the times of the first and the last of a series of refusals with no gap longer than maxRefusalGap.
type refusalSeries struct{ first, last time.Time }

// RecordRefusal records a refusal because of the named shortage and returns its Retry-After.
func (s *Shortages) RecordRefusal(shortage string, now time.Time) time.Duration {
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
