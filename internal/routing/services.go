package routing

import (
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
)

// servicePools begins the names of the pools of plain services; names of models hold no slash.
const servicePools = "service/"

// ServicePool names the pool of a plain service, whose endpoints' places are allocated like those of a model's groups.
func ServicePool(workspace, service string) string { return servicePools + workspace + "/" + service }

// IsServicePool reports whether a pool is that of a plain service.
func IsServicePool(pool string) bool { return strings.HasPrefix(pool, servicePools) }

// Services knows the endpoints of plain services that requests may be sent to now. It implements admission.Chooser: an endpoint
// stands for a group of one, which has no births.
type Services struct {
	drains  *drains.Book
	current func() *config.Config

	mu     sync.Mutex
	health map[string]*health // by endpoint
}

// NewServices returns Services over what the node knows.
func NewServices(d *drains.Book, current func() *config.Config) *Services {
	return &Services{drains: d, current: current, health: make(map[string]*health)}
}

// Endpoint returns an endpoint if it may be used now.
func (s *Services) Endpoint(name string) (config.Endpoint, bool) {
	c := s.current()
	if c == nil || s.drains.Read().Has(name) {
		return config.Endpoint{}, false
	}
	return c.Endpoint(name)
}

// Endpoints returns those of a pool's endpoints that are not drained.
func (s *Services) Endpoints(pool string) []config.Endpoint {
	workspace, name, _ := strings.Cut(strings.TrimPrefix(pool, servicePools), "/")
	c := s.current()
	if c == nil {
		return nil
	}
	service, ok := c.Service(workspace, name)
	if !ok {
		return nil
	}
	drained := s.drains.Read()
	var out []config.Endpoint
	for _, e := range service.Endpoints {
		if !drained.Has(e.Name) {
			out = append(out, e)
		}
	}
	return out
}

// Usable implements admission.Chooser.
func (s *Services) Usable(endpoint string, _ int64, _ time.Time) bool {
	_, ok := s.Endpoint(endpoint)
	return ok
}

// Ejected implements admission.Chooser as Router.Ejected does.
func (s *Services) Ejected(pool string, now time.Time) []allocator.Ref {
	var refs []allocator.Ref
	for _, e := range s.Endpoints(pool) {
		refs = append(refs, allocator.Ref{Group: e.Name})
	}
	return leftAlone(refs, func(ref allocator.Ref) *health { return s.of(ref.Group) }, now)
}

// TakeSpeeds implements admission.Chooser; the calls of a plain service are too unlike for their endpoints to be compared.
func (s *Services) TakeSpeeds(string, time.Time) []allocator.Speed { return nil }

// Succeeded notes that the endpoint has answered.
func (s *Services) Succeeded(endpoint string) { s.of(endpoint).succeed(0, 0) }

// Failed notes that the endpoint failed a request.
func (s *Services) Failed(endpoint string, now time.Time) { s.of(endpoint).fail(now) }

// AskedToPause notes that the endpoint has asked this node for a pause until then.
func (s *Services) AskedToPause(endpoint string, until time.Time) { s.of(endpoint).pause(until) }

// PauseLeft returns how long until the first pause ends, if all of the pool's endpoints have asked for one, and else zero.
func (s *Services) PauseLeft(pool string, now time.Time) time.Duration {
	var all []*health
	for _, e := range s.Endpoints(pool) {
		all = append(all, s.of(e.Name))
	}
	return leastPause(all, now)
}

func (s *Services) of(endpoint string) *health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.health[endpoint]
	if !ok {
		h = &health{}
		s.health[endpoint] = h
	}
	return h
}
