package quarantine

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
)

// keepEvery is how often the leader looks whether the list in the store has to be written. Nodes that are killed all at
// once lose what they have held back for less.
const keepEvery = 500 * time.Millisecond

const (
	// aloneFrom is how long a node hears no other until it goes by the store. Nodes that start hear each other sooner.
	aloneFrom = 1500 * time.Millisecond
	// aloneEvery is how often it then reads the list: the others may hold back what it has not seen, and write it within
	// keepEvery. A cut of five seconds costs a node four calls.
	aloneEvery = time.Second
)

// Keeper keeps the list of held requests in the platform's store, so that it outlives a loss of all nodes. The leader
// writes it when it has changed; each process reads it once when it starts, and a leader once more at the beginning of its
// tenure. Between living nodes it goes by their beats, whether the store answers or not; a node that hears no other reads
// and writes the list as a leader does.
type Keeper struct {
	Table   *Table
	Objects infra.ObjectStore
	// Recent lists the objects below a prefix for less; what it returns may be some seconds old.
	Recent func(ctx context.Context, prefix string) (infra.Listing, error)
	// Leads returns the epoch of this node's tenure, zero while it does not lead.
	Leads func(now time.Time) int64
	// Alone reports whether this node hears no other one.
	Alone  func(now time.Time) bool
	Logger log.Logger
	// FirstStart says that the fleet starts for the first time: there is nothing to restore.
	FirstStart bool

	restored bool
	alone    time.Time // since when; zero if it is not
	looked   time.Time // the list was last read while alone
	tenure   int64     // for which the list was read
	version  int64     // of the store's object; zero if there is none
	written  map[Fingerprint]keptHold
}

// keptHold is what the store has of one held request.
type keptHold struct {
	endings int
	until   time.Time
}

// Run keeps the list until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.restored = k.FirstStart
	loop.Every(ctx, keepEvery, func(now time.Time) {
		if !k.restored {
			k.restored = k.restore(ctx)
		}
		if epoch := k.Leads(now); epoch > 0 {
			k.lead(ctx, epoch)
		}
		if k.isAlone(now) && now.Sub(k.looked) >= aloneEvery {
			k.looked = now
			k.lead(ctx, 0)
		}
	})
	return nil
}

// isAlone reports whether this node has heard no other for some time and does not lead.
func (k *Keeper) isAlone(now time.Time) bool {
	if k.Leads(now) > 0 || !k.Alone(now) {
		k.alone = time.Time{}
		return false
	}
	if k.alone.IsZero() {
		k.alone = now
	}
	return now.Sub(k.alone) >= aloneFrom
}

// restore takes in the list that an earlier life of the fleet may have left, and reports whether the store has answered.
func (k *Keeper) restore(ctx context.Context) bool {
	l, err := k.Recent(ctx, keys.Quarantine)
	if err != nil {
		return false
	}
	for _, o := range l.Objects {
		if o.Key == keys.Held {
			k.take(o)
		}
	}
	return true
}

// take merges the store's list into the table.
func (k *Keeper) take(o infra.Object) {
	records, err := Records(o.Value, clock.Now())
	if err != nil {
		_ = level.Error(k.Logger).Log("msg", "the list of held requests cannot be read and is replaced", "key", o.Key, "err", err)
		return
	}
	k.Table.Merge(records, Source{}, clock.Now())
}

// lead reads the list at the beginning of a tenure, or each time if there is none, and writes it when it has changed.
func (k *Keeper) lead(ctx context.Context, epoch int64) {
	if (epoch == 0 || k.tenure != epoch) && !k.read(ctx) {
		return
	}
	k.tenure = epoch
	now := clock.Now()
	holds := k.Table.Holds(now)
	if !k.changed(holds, now) {
		return
	}
	outcome, version, err := k.Objects.Put(ctx, keys.Held, Keep(holds, now), k.version)
	if outcome != infra.Applied {
		k.tenure = 0 // read it again: another leader may have written, or the answer was lost
		_ = level.Warn(k.Logger).Log("msg", "the list of held requests was not written", "key", keys.Held, "err", err)
		return
	}
	k.version = version
	k.written = make(map[Fingerprint]keptHold, len(holds))
	for _, r := range holds {
		k.written[r.Fingerprint] = keptHold{len(r.Endings), now.Add(r.Hold)}
	}
}

// read reads the list and reports whether the store has answered.
func (k *Keeper) read(ctx context.Context) bool {
	o, err := k.Objects.Get(ctx, keys.Held)
	k.written = nil
	switch {
	case errors.Is(err, infra.ErrNotFound):
		k.version = 0
	case err != nil:
		return false
	default:
		k.version = o.Version
		k.take(o)
		k.written = writtenIn(o)
	}
	return true
}

// writtenIn returns what the store's list holds.
func writtenIn(o infra.Object) map[Fingerprint]keptHold {
	records, err := Records(o.Value, clock.Now())
	if err != nil {
		return nil // said where it was taken in
	}
	now := clock.Now()
	out := make(map[Fingerprint]keptHold, len(records))
	for _, r := range records {
		out[r.Fingerprint] = keptHold{len(r.Endings), now.Add(r.Hold)}
	}
	return out
}

// changed reports whether the store's list tells something else than what is held back now.
func (k *Keeper) changed(holds []Record, now time.Time) bool {
	gone := maps.Clone(k.written)
	for _, r := range holds {
		w, known := k.written[r.Fingerprint]
		if !known || w.endings != len(r.Endings) || now.Add(r.Hold).Sub(w.until) > holdSlack {
			return true
		}
		delete(gone, r.Fingerprint)
	}
	return len(gone) > 0
}
