package standin

import (
	"net/http"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// WeightStore emulates the rate-limited store of model weights; loads above the rate are queued.
type WeightStore struct {
	*Server
	perSecond float64
	load      time.Duration
	mu        sync.Mutex
	nextStart time.Time
	started   []time.Time
}

// StartWeightStore starts a store on a loopback host that admits perSecond loads per second, each of which takes the time load.
func StartWeightStore(host string, perSecond float64, load time.Duration) (*WeightStore, error) {
	s := &WeightStore{perSecond: perSecond, load: load}
	var err error
	s.Server, err = StartServer(anyPort(host), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, infra.WeightLimits{LoadsPerSecond: perSecond})
	}))
	return s, err
}

// StartLoad records a load and returns its duration, including the wait in the queue.
func (s *WeightStore) StartLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.started = append(s.started, now)
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	wait := s.nextStart.Sub(now)
	s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.perSecond))
	return wait + s.load
}

// Loads returns the number of loads started so far.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.started)
}
