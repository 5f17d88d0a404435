// Package holder does what only the holder of a data centre's lease may do: write the assignments of its
// fabric domains and give orders to their engines.
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

const keeperStep = 200 * time.Millisecond

// Keeper keeps this node's view of its data centre's lease.
type Keeper struct {
	objects infra.ObjectStore
	key     string
	ttl     time.Duration
	want    func() bool
	logger  log.Logger

	mu    sync.Mutex
	lease *lease.Lease
}

// NewKeeper returns a Keeper for the lease of a data centre; want says whether this node should hold it.
func NewKeeper(objects infra.ObjectStore, dataCentre, vm string, ttl, margin time.Duration, want func() bool, logger log.Logger) *Keeper {
	return &Keeper{
		objects: objects, key: keys.Lease(dataCentre), ttl: ttl, want: want, logger: logger,
		lease: lease.New(vm, ttl, margin),
	}
}

// Held returns the epoch and end of the lease while this node holds it.
func (k *Keeper) Held(now time.Time) (epoch int64, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(now)
}

// Latest returns the version and the record of the lease as last seen.
func (k *Keeper) Latest() (int64, lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Latest()
}

// Told takes in what the holder of the lease has told of it.
func (k *Keeper) Told(version int64, record lease.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Told(version, record, clock.Now())
}

// GivenUp takes in that a node has told that it does not hold the lease.
func (k *Keeper) GivenUp(by string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.GivenUp(by)
}

// HeldElsewhere reports whether another node holds the lease as far as is known.
func (k *Keeper) HeldElsewhere(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.HeldElsewhere(now)
}

// Run contends for the lease while this node should hold it, until ctx ends; then it is released.
func (k *Keeper) Run(ctx context.Context) error {
	held := false
	loop.Every(ctx, keeperStep, func(now time.Time) {
		want := k.want()
		if _, _, ok := k.Held(now); want || ok {
			k.step(ctx, want)
		}
		if _, _, holds := k.Held(clock.Now()); holds != held {
			held = holds
			_ = level.Info(k.logger).Log("msg", "lease", "key", k.key, "held", held)
		}
	})
	k.release()
	return nil
}

// release gives the lease up, so that the next holder need not wait it out.
func (k *Keeper) release() {
	if _, _, ok := k.Held(clock.Now()); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	k.step(ctx, false)
}

func (k *Keeper) step(ctx context.Context, want bool) {
	ctx, cancel := context.WithTimeout(rest.Urgent(ctx), k.ttl/2)
	defer cancel()
	operation := uuid.NewString()
	k.mu.Lock()
	action, record, ifVersion := k.lease.Next(clock.Now(), want, operation)
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
			_ = level.Error(k.logger).Log("msg", "the lease object cannot be read", "key", k.key, "err", err)
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
	case infra.Unknown: // the next step reads it back
	}
}
