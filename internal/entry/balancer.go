package entry

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/config"
)

const (
	// ejectAfter is how many failures in a row take an endpoint out of the choice for a while.
	ejectAfter = 3
	ejectBase  = time.Second
	ejectMost  = 30 * time.Second
)

// balancer chooses between a plain service's endpoints: the less busy of two at random, endpoints that
// keep failing last.
type balancer struct {
	mu        sync.Mutex
	endpoints map[string]*endpointState
}

type endpointState struct {
	running  int
	failures int
	ejected  time.Time // until then
	paused   time.Time // end of the pause that it has asked for
}

func newBalancer() *balancer { return &balancer{endpoints: make(map[string]*endpointState)} }

func (b *balancer) state(name string) *endpointState {
	s, ok := b.endpoints[name]
	if !ok {
		s = &endpointState{}
		b.endpoints[name] = s
	}
	return s
}

// take chooses an endpoint with a free place and counts the call on it, or reports that none has one.
func (b *balancer) take(candidates []config.Endpoint, avoid string, now time.Time) (config.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var free, ejected []config.Endpoint
	for _, e := range candidates {
		places := e.Places
		if places == 0 {
			places = config.DefaultEndpointPlaces
		}
		s := b.state(e.Name)
		switch {
		case s.running >= places, now.Before(s.paused):
		case now.Before(s.ejected) || e.Name == avoid:
			ejected = append(ejected, e)
		default:
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		free = ejected // a floor: with none healthy, the others are better than nothing
	}
	if len(free) == 0 {
		return config.Endpoint{}, false
	}
	chosen := free[rand.IntN(len(free))]
	if other := free[rand.IntN(len(free))]; b.state(other.Name).running < b.state(chosen.Name).running {
		chosen = other
	}
	b.state(chosen.Name).running++
	return chosen, true
}

// done counts the end of a call.
func (b *balancer) done(name string, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(name)
	s.running--
	if ok {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= ejectAfter {
		wait := float64(ejectBase) * math.Exp2(float64(s.failures-ejectAfter))
		s.ejected = now.Add(time.Duration(math.Min(wait, float64(ejectMost))))
	}
}

// pause leaves an endpoint alone until then, as it has asked for.
func (b *balancer) pause(name string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state(name); until.After(s.paused) {
		s.paused = until
	}
}

// pauseLeft returns how long until the first pause ends, if all of the endpoints have asked for one, and else zero.
func (b *balancer) pauseLeft(candidates []config.Endpoint, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var pauses []time.Duration
	for _, e := range candidates {
		pauses = append(pauses, max(0, b.state(e.Name).paused.Sub(now)))
	}
	if len(pauses) == 0 {
		return 0
	}
	return slices.Min(pauses)
}
