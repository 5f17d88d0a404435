// Package holder implements the tasks of the node that holds a data centre's lease: it writes the assignments
// of the data centre's fabric domains and sends orders to their engines.
package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/infra/rest"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/lease"
	"moorrun.dev/moorrun/internal/loop"
)

const leaseStepInterval = 200 * time.Millisecond

// LeaseClient acquires, renews and releases one lease object in the platform's store and keeps this node's view of it.
type LeaseClient struct {
	objects    infra.ObjectStore
	key        string
	ttl        time.Duration
	shouldHold func() bool
	logger     log.Logger
	// EpochsAbove returns an epoch above which every epoch is unused, even if the store has lost the records of some; nil if it
	// loses none.
	EpochsAbove func() int64

	mu    sync.Mutex
	lease *lease.Lease
}

// NewLeaseClient returns a LeaseClient for the lease with the given name, such as that of a data centre. shouldHold reports
// whether this node should hold the lease. Another process's lease counts as expired only after its time to
// live and margin have passed.
func NewLeaseClient(objects infra.ObjectStore, name, vm string, ttl, margin time.Duration, shouldHold func() bool, logger log.Logger) *LeaseClient {
	return &LeaseClient{
		objects: objects, key: keys.Lease(name), ttl: ttl, shouldHold: shouldHold, logger: logger,
		lease: lease.New(vm, ttl, margin),
	}
}

// Held returns the epoch and the expiry time of the lease; ok is false unless this node holds it at now.
func (c *LeaseClient) Held(now time.Time) (epoch int64, until time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Held(now)
}

// Latest returns the object version and the record of the lease as last seen.
func (c *LeaseClient) Latest() (int64, lease.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Latest()
}

// Reported records the object version and the record of the lease that its holder reported to this node.
func (c *LeaseClient) Reported(version int64, record lease.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Reported(version, record, clock.Now())
}

// Disclaimed records that the node by has reported that it does not hold the lease.
func (c *LeaseClient) Disclaimed(by string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Disclaimed(by)
}

// HeldElsewhere reports whether another node holds the lease according to the version last seen.
func (c *LeaseClient) HeldElsewhere(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.HeldElsewhere(now)
}

// Run acquires and renews the lease while this node should hold it. When ctx is done it releases the lease.
func (c *LeaseClient) Run(ctx context.Context) error {
	held := false
	loop.Every(ctx, leaseStepInterval, func(now time.Time) {
		shouldHold := c.shouldHold()
		if _, _, ok := c.Held(now); shouldHold || ok {
			c.step(ctx, shouldHold)
		}
		if _, _, holds := c.Held(clock.Now()); holds != held {
			held = holds
			_ = level.Info(c.logger).Log("msg", "lease", "key", c.key, "held", held)
		}
	})
	c.release()
	return nil
}

// release releases the lease if it is held, so that the next holder need not wait for it to expire.
func (c *LeaseClient) release() {
	if _, _, ok := c.Held(clock.Now()); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.step(ctx, false)
}

func (c *LeaseClient) step(ctx context.Context, shouldHold bool) {
	ctx, cancel := context.WithTimeout(rest.Urgent(ctx), c.ttl/2)
	defer cancel()
	operation := uuid.NewString()
	c.mu.Lock()
	if c.EpochsAbove != nil {
		c.lease.RaiseEpochs(c.EpochsAbove())
	}
	action, record, ifVersion := c.lease.Next(clock.Now(), shouldHold, operation)
	if action == lease.Write {
		c.lease.Sending(record, clock.Now())
	}
	c.mu.Unlock()
	switch action {
	case lease.Read:
		c.read(ctx)
	case lease.Write:
		c.write(ctx, record, ifVersion)
	case lease.Wait:
	}
}

func (c *LeaseClient) read(ctx context.Context) {
	o, err := c.objects.Get(ctx, c.key)
	var record lease.Record
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil:
		return
	default:
		if record, err = lease.ParseRecord(o.Value, c.ttl); err != nil {
			_ = level.Error(c.logger).Log("msg", "lease object is unreadable and will be replaced after a term", "key", c.key, "err", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Observed(o.Version, record, clock.Now())
}

func (c *LeaseClient) write(ctx context.Context, record lease.Record, ifVersion int64) {
	outcome, version, _ := c.objects.Put(ctx, c.key, record, ifVersion)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case infra.Applied:
		c.lease.Applied(version, record, clock.Now())
	case infra.NotApplied:
		c.lease.Refused(record.Operation)
	case infra.Unknown: // the next step reads the object to see whether the write took effect
	}
}
