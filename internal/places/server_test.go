package places

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/invariant"
)

// TestOvercommittedGroupBreachesInvariant checks that a group with more places held than it has breaches the
// invariant, but only after the time that a change of its places may take to be applied.
func TestOvercommittedGroupBreachesInvariant(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	s := &Server{checker: checker}
	now := time.Unix(1000, 0)
	p := &lockedPool{pool: allocator.NewPool(now)}
	p.pool.SetGroups([]allocator.Group{{ID: "g", Birth: 1, Places: 1}})
	p.pool.Report(allocator.Report{VM: "n", Workspaces: []allocator.Demand{{
		Workspace: "w", Running: []allocator.Places{{Group: "g", Birth: 1, Count: 2}},
	}}}, func(string) int { return 1 }, 1, now)
	s.check(p, now)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(0), qt.Commentf("a group whose places were just lowered may be overcommitted for a while"))
	s.check(p, now.Add(time.Minute))
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}
