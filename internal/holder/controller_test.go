package holder

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/lease"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/replica"
)

// stubStore accepts and counts every write.
type stubStore struct {
	infra.ObjectStore
	writes int
}

// Put implements infra.ObjectStore.
func (s *stubStore) Put(context.Context, string, any, int64) (infra.Outcome, int64, error) {
	s.writes++
	return infra.Applied, int64(s.writes), nil
}

func newController(checker *invariant.Checker, store infra.ObjectStore) *Controller {
	k := NewLeaseClient(store, "dc", "vm", time.Minute, 0, func() bool { return true }, log.NewNopLogger())
	return &Controller{LeaseClient: k, Objects: store, Mirror: mirror.New(), Checker: checker, Logger: log.NewNopLogger(), loadLimiter: rate.NewLimiter(1, 1)}
}

func TestAssignmentWithVMInTwoGroupsIsReportedAndNotWritten(t *testing.T) {
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

func TestHolderWithEarlierConfigurationWritesNothing(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	store := &stubStore{}
	c := newController(checker, store)
	c.Assignments, c.Drains, c.Reports = domains.NewReader(c.Mirror), drains.NewReader(c.Mirror), evidence.NewReports()
	c.VMs, c.Losses, c.Policy = NewVMWatch(nil, nil, nil), NewLossMeter(), replica.DefaultPolicy
	c.DataCentre = "x"
	part := config.Part{DataCentre: &config.DataCentre{Name: "x", Domains: []config.Domain{{Name: "d"}}}}
	holdLease(c, 3)
	c.domains = map[string]*domainState{"d": {memory: replica.NewMemory(), lastOrders: map[string]sentOrder{}, latest: &replica.Assignment{Domain: "d", Revision: 8}}}
	for i, revision := range []int64{7, 8} { // the stored revision is 8: 7 causes no write, 8 causes one
		current := config.New(revision, config.Set{"data_centre/x": part})
		c.reconcile(context.Background(), current, current.Domains()["d"], replica.Placement{})
		qt.Check(t, store.writes, qt.Equals, i, qt.Commentf("revision %d", revision))
	}
}

// holdLease makes the controller hold the lease with the given epoch.
func holdLease(c *Controller, epoch int64) {
	now := time.Now()
	record := lease.Record{Holder: "vm", Epoch: epoch, Operation: "op", TTLMillis: time.Minute.Milliseconds()}
	c.LeaseClient.lease.Sending(record, now)
	c.LeaseClient.lease.Applied(1, record, now)
	c.epoch = epoch
}

func TestReplacingLaterEpochIsReported(t *testing.T) {
	checker := invariant.NewChecker(log.NewNopLogger(), tally.NoopScope)
	c := newController(checker, &stubStore{})
	holdLease(c, 3)
	later := &domainState{latest: &replica.Assignment{Domain: "d", Epoch: 4}}
	qt.Assert(t, c.write(context.Background(), later, &replica.Assignment{Domain: "d"}, nil), qt.IsTrue)
	qt.Assert(t, checker.Breaches(), qt.Equals, int64(1))
}
