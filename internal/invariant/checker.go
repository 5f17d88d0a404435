// Package invariant checks, inside the running program, what must always hold. The checks stay
// compiled in: a breach is logged with its state and counted.
package invariant

import (
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Name says which promise a check guards.
type Name string

// The invariants.
const (
	// OneGroupAVM: no VM belongs to two groups at once.
	OneGroupAVM Name = "one_group_a_vm"
	// WholeGroup: no request goes to a group without live evidence that all its VMs are present.
	WholeGroup Name = "whole_group"
	// RevisionGrows: an accepted configuration never reverts.
	RevisionGrows Name = "revision_grows"
	// OwnAnswer: a caller gets the answer to its own request.
	OwnAnswer Name = "own_answer"
	// RunsOnce: a request that may not be repeated is sent at most once.
	RunsOnce Name = "runs_once"
	// PlacesHeld: places granted of a group do not pass what it has.
	PlacesHeld Name = "places_held"
	// UnderLease: an assignment is never replaced by one of an earlier lease holder.
	UnderLease Name = "under_lease"
)

// Checker counts checks and reports breaches.
type Checker struct {
	logger   log.Logger
	scope    tally.Scope
	checks   atomic.Int64
	breaches atomic.Int64
}

// NewChecker returns a Checker that logs to logger and counts in scope.
func NewChecker(logger log.Logger, scope tally.Scope) *Checker {
	return &Checker{logger: logger, scope: scope}
}

// Hold checks one invariant and returns ok. detail gives the state as key-value pairs and is called
// only on a breach.
func (c *Checker) Hold(name Name, ok bool, detail func() []any) bool {
	c.checks.Add(1)
	if ok {
		return true
	}
	c.breaches.Add(1)
	c.scope.Tagged(map[string]string{"invariant": string(name)}).Counter("invariant_breaches").Inc(1)
	_ = level.Error(log.With(c.logger, detail()...)).Log("msg", "invariant breached", "invariant", string(name))
	return false
}

// Checks returns how many checks have been made.
func (c *Checker) Checks() int64 { return c.checks.Load() }

// Breaches returns how many have failed.
func (c *Checker) Breaches() int64 { return c.breaches.Load() }
