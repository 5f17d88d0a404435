package inforce

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/mirror"
)

func TestActivatingAnOlderRevisionBreachesTheInvariant(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	k := NewTracker(mirror.New(), nil, checker, log.NewNopLogger(), func(*config.Config) {})
	k.activate(config.New(7, nil), &accept.Head{Revision: 7})
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(0))
	k.activate(config.New(6, nil), &accept.Head{Revision: 6})
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}
