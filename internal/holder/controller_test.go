package holder

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/lease"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/platform"
	"moorrun.dev/moorrun/internal/replica"
)

// stubStore takes every write.
type stubStore struct {
	platform.ObjectStore
	writes int
}

// Put implements platform.ObjectStore.
func (s *stubStore) Put(context.Context, string, any, int64) (platform.Outcome, int64, error) {
	s.writes++
	return platform.Applied, int64(s.writes), nil
}

func newController(checker *invariant.Checker, store platform.ObjectStore) *Controller {
	k := NewKeeper(store, "dc", "vm", time.Minute, 0, func() bool { return true }, log.NewNopLogger())
	return &Controller{Keeper: k, Objects: store, Mirror: mirror.New(), Checker: checker, Logger: log.NewNopLogger(), loads: rate.NewLimiter(1, 1)}
}

func TestPlantedVMInTwoGroupsIsCaughtAndNotWritten(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	store := &stubStore{}
	c := newController(checker, store)
	bad := &replica.Assignment{Domain: "d", Groups: []*replica.Group{{ID: "a", VMs: []string{"x"}}, {ID: "b", VMs: []string{"x"}}}}
	qt.Assert(t, c.write(context.Background(), &domainState{latest: &replica.Assignment{}}, bad, nil), qt.IsFalse)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
	qt.Assert(t, store.writes, qt.Equals, 0)
}

func TestNothingIsWrittenWithoutTheLease(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	store := &stubStore{}
	c := newController(checker, store)
	qt.Assert(t, c.write(context.Background(), &domainState{latest: &replica.Assignment{}}, &replica.Assignment{Domain: "d"}, nil), qt.IsFalse)
	qt.Assert(t, store.writes, qt.Equals, 0)
}

func TestPlantedEarlierEpochIsCaught(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	c := newController(checker, &stubStore{})
	now := time.Now()
	record := lease.Record{Holder: "vm", Epoch: 3, Operation: "op", TTLMillis: time.Minute.Milliseconds()}
	c.Keeper.lease.Sending(record, now)
	c.Keeper.lease.Applied(1, record, now)
	c.epoch = 3
	later := &domainState{latest: &replica.Assignment{Domain: "d", Epoch: 4}}
	qt.Assert(t, c.write(context.Background(), later, &replica.Assignment{Domain: "d"}, nil), qt.IsTrue)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}
