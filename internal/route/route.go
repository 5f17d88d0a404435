// Package route holds one accepted version of the configured routes, services and workspaces: which requests callers may make
// and which service answers them. A Table is immutable once it is in use.
package route

import (
	"math/rand/v2"
	"time"
)

// Kind determines whether a request may run more than once.
type Kind uint8

const (
	// Once is the kind of a request that may run at most once.
	Once Kind = iota + 1
	// Repeatable is the kind of a request that may run more than once.
	Repeatable
	// Streaming is the kind of a request that is answered by a stream of events.
	Streaming
)

// Target is a service that receives a share of a route's requests in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Route describes how requests to one host below one path prefix are served.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time that a request may take
	Objective    time.Duration // target for the time to the answer, or to the first event of a stream
	GapObjective time.Duration // target for the longest gap between two events of a stream
	Priority     int           // 0 is the most urgent
	Targets      []Target
	MaxAttempts  int  // most attempts of one request that may have run
	Public       bool // requests need no credential
	Resumable    bool // a stream may continue at another endpoint
}

// MayRepeat reports whether a request on the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for one request, drawn at random by weight, or "" if no target has a weight.
func (r *Route) Pick() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := rand.IntN(total) //nolint:gosec // load balancing, not security
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return ""
}
