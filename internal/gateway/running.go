package gateway

import (
	"slices"
	"sync"
	"time"
)

// RunningRequest describes a request that is being served.
type RunningRequest struct {
	ID       string
	Route    string
	Received time.Time
	Deadline time.Time
}

// requestSet holds the requests that are being served.
type requestSet struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

func (s *requestSet) add(a *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = make(map[*activeRequest]struct{})
	}
	s.requests[a] = struct{}{}
}

func (s *requestSet) remove(a *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, a)
}

// Running returns the admitted requests that have not ended, oldest first.
func (g *Gateway) Running() []RunningRequest {
	g.running.mu.Lock()
	out := make([]RunningRequest, 0, len(g.running.requests))
	for a := range g.running.requests {
		out = append(out, RunningRequest{ID: a.request.ID, Route: a.route.Name, Received: a.request.Received, Deadline: a.deadline})
	}
	g.running.mu.Unlock()
	slices.SortFunc(out, func(a, b RunningRequest) int { return a.Received.Compare(b.Received) })
	return out
}
