// Package holder implements the tasks of the node that holds a data centre's lease: it writes the assignments
// of the data centre's fabric domains and sends orders to their engines.
package holder

import (
	"context"
	"encoding/json"
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

// Keeper acquires, renews and releases one lease object in the platform's store and keeps this node's view of it.
type Keeper struct {
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

// NewKeeper returns a Keeper for the lease with the given name, such as that of a data centre. shouldHold reports
// whether this node should hold the lease. Another process's lease counts as expired only after its time to
// live and margin have passed.
func NewKeeper(objects infra.ObjectStore, name, vm string, ttl, margin time.Duration, shouldHold func() bool, logger log.Logger) *Keeper {
	return &Keeper{
		objects: objects, key: keys.Lease(name), ttl: ttl, shouldHold: shouldHold, logger: logger,
		lease: lease.New(vm, ttl, margin),
	}
}

// Held returns the epoch and the expiry time of the lease; ok is false unless this node holds it at now.
func (k *Keeper) Held(now time.Time) (epoch int64, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(now)
}

// Latest returns the object version and the record of the lease as last seen.
func (k *Keeper) Latest() (int64, lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Latest()
}

// Reported records the object version and the record of the lease that its holder reported to this node.
func (k *Keeper) Reported(version int64, record lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Reported(version, record, clock.Now())
}

// Disclaimed records that the node by has reported that it does not hold the lease.
func (k *Keeper) Disclaimed(by string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Disclaimed(by)
}

// HeldElsewhere reports whether another node holds the lease according to the version last seen.
func (k *Keeper) HeldElsewhere(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.HeldElsewhere(now)
}

// Run acquires and renews the lease while this node should hold it. When ctx is done it releases the lease.
func (k *Keeper) Run(ctx context.Context) error {
	held := false
	loop.Every(ctx, leaseStepInterval, func(now time.Time) {
		shouldHold := k.shouldHold()
		if _, _, ok := k.Held(now); shouldHold || ok {
			k.step(ctx, shouldHold)
		}
		if _, _, holds := k.Held(clock.Now()); holds != held {
			held = holds
			_ = level.Info(k.logger).Log("msg", "lease", "key", k.key, "held", held)
		}
	})
	k.release()
	return nil
}

// release releases the lease if it is held, so that the next holder need not wait for it to expire.
func (k *Keeper) release() {
	if _, _, ok := k.Held(clock.Now()); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	k.step(ctx, false)
}

func (k *Keeper) step(ctx context.Context, shouldHold bool) {
	ctx, cancel := context.WithTimeout(rest.Urgent(ctx), k.ttl/2)
	defer cancel()
	operation := uuid.NewString()
	k.mu.Lock()
	if k.EpochsAbove != nil {
		k.lease.RaiseEpochs(k.EpochsAbove())
	}
	action, record, ifVersion := k.lease.Next(clock.Now(), shouldHold, operation)
	if action == lease.Write {
		k.lease.Sending(record, clock.Now())
	}
	k.mu.Unlock()
	switch action {
	case lease.Read:
		k.read(ctx)
	case lease.Write:
		k.write(ctx, record, ifVersion)
	case lease.Wait:
	}
}

func (k *Keeper) read(ctx context.Context) {
	o, err := k.objects.Get(ctx, k.key)
	var record lease.Record
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil:
		return
	default:
		if err := json.Unmarshal(o.Value, &record); err != nil {
			_ = level.Error(k.logger).Log("msg", "cannot decode lease object", "key", k.key, "err", err)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Observed(o.Version, record, clock.Now())
}

func (k *Keeper) write(ctx context.Context, record lease.Record, ifVersion int64) {
	outcome, version, _ := k.objects.Put(ctx, k.key, record, ifVersion)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch outcome {
	case infra.Applied:
		k.lease.Applied(version, record, clock.Now())
	case infra.NotApplied:
		k.lease.Refused(record.Operation)
	case infra.Unknown: // the next step reads the object to see whether the write took effect
	}
}
