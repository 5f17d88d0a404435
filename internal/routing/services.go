package routing

import (
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
)

// servicePoolPrefix is the prefix of the pool names of plain services. It differs from every model name, as these
// contain no slash.
const servicePoolPrefix = "service/"

// ServicePool returns the pool name of a plain service. The places of its endpoints are allocated like those of a
// model's groups.
func ServicePool(workspace, service string) string {
	return servicePoolPrefix + workspace + "/" + service
}

// IsServicePool reports whether pool is the pool name of a plain service.
func IsServicePool(pool string) bool { return strings.HasPrefix(pool, servicePoolPrefix) }

// Services determines the endpoints of plain services that requests may be sent to now. It implements
// admission.Chooser: an endpoint is treated as a group with one member and without births.
type Services struct {
	drains  *drains.Reader
	current func() *config.Config

	mu     sync.Mutex
	health map[string]*health // by endpoint name
}

// NewServices returns Services that use the node's drains and current configuration.
func NewServices(d *drains.Reader, current func() *config.Config) *Services {
	return &Services{drains: d, current: current, health: make(map[string]*health)}
}

// Endpoint returns an endpoint and whether requests may be sent to it now.
func (s *Services) Endpoint(name string) (config.Endpoint, bool) {
	c := s.current()
	if c == nil || s.drains.Read().Has(name) {
		return config.Endpoint{}, false
	}
	return c.Endpoint(name)
}

// Endpoints returns the endpoints of a pool that are not drained.
func (s *Services) Endpoints(pool string) []config.Endpoint {
	workspace, name, _ := strings.Cut(strings.TrimPrefix(pool, servicePoolPrefix), "/")
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

// Ejected implements admission.Chooser by the same rule as Router.Ejected.
func (s *Services) Ejected(pool string, now time.Time) []allocator.Ref {
	var refs []allocator.Ref
	for _, e := range s.Endpoints(pool) {
		refs = append(refs, allocator.Ref{Group: e.Name})
	}
	return ejectedRefs(refs, func(ref allocator.Ref) *health { return s.healthOf(ref.Group) }, now)
}

// TakeSpeeds implements admission.Chooser. It returns nothing, because the calls of a plain service differ too much
// for their durations to show which endpoint is faster.
func (s *Services) TakeSpeeds(string, time.Time) []allocator.Speed { return nil }

// RecordSuccess records that the endpoint has answered.
func (s *Services) RecordSuccess(endpoint string) { s.healthOf(endpoint).recordSuccess(0, 0) }

// RecordFailure records that the endpoint failed a request.
func (s *Services) RecordFailure(endpoint string, now time.Time) {
	s.healthOf(endpoint).recordFailure(now)
}

// RecordPause records that the endpoint has requested a pause from this node until the given time.
func (s *Services) RecordPause(endpoint string, until time.Time) {
	s.healthOf(endpoint).recordPause(until)
}

// RemainingPause returns the time until the first pause ends if all endpoints of the pool that are not drained have
// requested one, and zero otherwise.
func (s *Services) RemainingPause(pool string, now time.Time) time.Duration {
	var all []*health
	for _, e := range s.Endpoints(pool) {
		all = append(all, s.healthOf(e.Name))
	}
	return shortestPause(all, now)
}

func (s *Services) healthOf(endpoint string) *health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.health[endpoint]
	if !ok {
		h = &health{}
		s.health[endpoint] = h
	}
	return h
}
