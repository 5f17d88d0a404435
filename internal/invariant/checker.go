// Package invariant checks the invariants of the system at run time. The checks are part of production
// builds: a breach is counted, and logged together with the state that shows it.
package invariant

import (
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Name identifies an invariant in logs and metrics.
type Name string

// The invariants.
const (
	// OneGroupPerVM states that no VM belongs to two groups at the same time.
	OneGroupPerVM Name = "one_group_a_vm"
	// GroupComplete states that a request is sent to a group only on current evidence that all its VMs are present.
	GroupComplete Name = "whole_group"
	// RevisionMonotonic states that the revision of the accepted configuration never goes back.
	RevisionMonotonic Name = "revision_grows"
	// ResponseMatchesRequest states that a caller receives the response to its own request.
	ResponseMatchesRequest Name = "own_answer"
	// SentAtMostOnce states that a request that must not be repeated is sent at most once.
	SentAtMostOnce Name = "runs_once"
	// PlacesWithinCapacity states that the places granted in a group do not exceed the places that it has.
	PlacesWithinCapacity Name = "places_held"
	// LeaseEpochMonotonic states that an assignment is never replaced by one from an earlier lease holder.
	LeaseEpochMonotonic Name = "under_lease"
)

// Checker counts checks and breaches, and logs the breaches.
type Checker struct {
	logger   log.Logger
	scope    tally.Scope
	checks   atomic.Int64
	breaches atomic.Int64
}

// NewChecker returns a Checker that logs breaches to logger and counts them in scope.
func NewChecker(logger log.Logger, scope tally.Scope) *Checker {
	return &Checker{logger: logger, scope: scope}
}

// Check records a check of invariant name, which holds if ok is true, and returns ok. On a breach it calls
// detail for the state to log, as key-value pairs.
func (c *Checker) Check(name Name, ok bool, detail func() []any) bool {
	c.checks.Add(1)
	if ok {
		return true
	}
	c.breaches.Add(1)
	c.scope.Tagged(map[string]string{"invariant": string(name)}).Counter("invariant_breaches").Inc(1)
	_ = level.Error(log.With(c.logger, detail()...)).Log("msg", "invariant breached", "invariant", string(name))
	return false
}

// Checks returns the number of checks made.
func (c *Checker) Checks() int64 { return c.checks.Load() }

// Breaches returns the number of checks that failed.
func (c *Checker) Breaches() int64 { return c.breaches.Load() }
