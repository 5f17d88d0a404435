// Package route holds what callers may ask for and which service answers it: one accepted version of the
// routes, services and workspaces. Tables are never changed after they were made.
package route

import (
	"math/rand/v2"
	"time"
)

// Kind says whether a request may run more than once.
type Kind uint8

const (
	// Once is a request that may run at most once.
	Once Kind = iota + 1
	// Repeatable is a request that may run more than once.
	Repeatable
	// Streaming is a request answered by a series of events.
	Streaming
)

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says what is to be done with the requests below one path of one host.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time a request is held
	Objective    time.Duration // answers, or first events, should come within it
	GapObjective time.Duration // longest pause between two events of an answer in time
	Priority     int           // 0 is the most urgent
	Targets      []Target
	MaxAttempts  int  // endpoints that one request may run at
	Public       bool // needs no credential
	Resumable    bool // a stream may go on at another endpoint
}

// MayRepeat reports whether a request on the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Pick returns the service of one request, drawn by weight.
func (r *Route) Pick() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	draw := rand.IntN(total) //nolint:gosec // spreads load, keeps no secret
	for _, t := range r.Targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	return ""
}
