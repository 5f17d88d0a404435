package standin

import (
	"net/http"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// WeightStore bears a number of VM loads a second; loads beyond it wait.
type WeightStore struct {
	*Server
	perSecond float64
	load      time.Duration
	mu        sync.Mutex
	next      time.Time
	started   []time.Time
}

// StartWeightStore starts a store that bears that many loads a second, each taking so long.
func StartWeightStore(perSecond float64, load time.Duration) (*WeightStore, error) {
	s := &WeightStore{perSecond: perSecond, load: load}
	var err error
	s.Server, err = StartServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, infra.WeightLimits{LoadsPerSecond: perSecond})
	}))
	return s, err
}

// Load returns how long a load that starts now will take.
func (s *WeightStore) Load() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.started = append(s.started, now)
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.perSecond))
	return wait + s.load
}

// Loads returns how many loads have been started.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.started)
}
