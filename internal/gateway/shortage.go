package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// leastComeBack and mostComeBack bound when a caller is told to come back. Groups that have lost a member are
	// formed anew within one to two seconds; callers that are told more wait for no more than a third of the time
	// that they have, which is two seconds for the usual one of six.
	leastComeBack = 600 * time.Millisecond
	mostComeBack  = 2 * time.Second
	// shortageGap is the pause between two refusals that ends a shortage.
	shortageGap = 500 * time.Millisecond
)

// shortages tells how long refusals of the same kind have lasted. A shortage of unknown length is likely to last as long
// again as it has lasted already, so that is when a refused caller is told to come back.
type shortages struct {
	mu   sync.Mutex
	runs map[string]run
}

// run is a run of refusals without a long pause.
type run struct{ first, last time.Time }

// refused notes a refusal for want of something and returns when the caller should come back.
func (s *shortages) refused(of string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]run)
	}
	r, lasts := s.runs[of]
	if !lasts || now.Sub(r.last) > shortageGap {
		r.first = now
	}
	r.last = now
	s.runs[of] = r
	return min(max(now.Sub(r.first), leastComeBack), mostComeBack)
}

// spreadPart is the part of a wait by which callers that wait for the same moment come back apart from each other, at the most.
const spreadPart = 0.25

// spread returns the wait, or up to spreadPart more by chance.
func spread(wait time.Duration) time.Duration {
	return wait + time.Duration(spreadPart*rand.Float64()*float64(wait)) //nolint:gosec // any spread will do
}
