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

// syncInterval is how often the leader checks whether the stored list must be written. If all nodes are killed at once, they
// lose at most the holds of the last interval.
const syncInterval = 500 * time.Millisecond

const (
	// isolationDelay is how long a node must have received no heartbeat before it relies on the store. Starting nodes
	// receive each other's heartbeats sooner.
	isolationDelay = 1500 * time.Millisecond
	// isolatedSyncInterval is how often an isolated node reads the stored list: other nodes may hold back requests that
	// it has received no records of, and write them within syncInterval. A network partition of five seconds costs a node four calls.
	isolatedSyncInterval = time.Second
)

// HoldSyncer maintains the list of held requests in the platform's object store, where it survives the loss of all nodes. The
// leader writes the list when it has changed. Each process reads it once at startup, and a leader again at the beginning of
// each epoch. Otherwise nodes exchange holds in their heartbeats, whether or not the store is available. A node that
// receives no heartbeats reads and writes the list as a leader does.
type HoldSyncer struct {
	Table   *Table
	Objects infra.ObjectStore
	// Recent lists the objects with a prefix at a lower cost than ObjectStore; the result may be some seconds old.
	Recent func(ctx context.Context, prefix string) (infra.Listing, error)
	// LeaderEpoch returns the epoch in which this node is the leader, or zero if it is not the leader.
	LeaderEpoch func(now time.Time) int64
	// HasNoPeers reports whether this node receives heartbeats from no other node.
	HasNoPeers func(now time.Time) bool
	// Era returns how often the store has come back from a copy, which may lack the list; nil if that is not known.
	Era    func() int64
	Logger log.Logger
	// FirstStart is set if the fleet starts for the first time, so that there is no list to restore.
	FirstStart bool

	restored         bool
	isolatedSince    time.Time // zero if this node leads or receives heartbeats
	lastIsolatedSync time.Time // when an isolated node last read the list
	loadedEpoch      int64     // epoch for which the list was read
	loadedEra        int64     // era of the store in which it was read
	version          int64     // version of the stored object; zero if there is none
	written          map[Fingerprint]writtenHold
}

// writtenHold is the state of one held request in the store.
type writtenHold struct {
	endingCount int
	until       time.Time
}

// Run maintains the stored list until ctx is done.
func (s *HoldSyncer) Run(ctx context.Context) error {
	s.restored = s.FirstStart
	loop.Every(ctx, syncInterval, func(now time.Time) {
		if !s.restored {
			s.restored = s.restore(ctx)
		}
		if epoch := s.LeaderEpoch(now); epoch > 0 {
			s.syncList(ctx, epoch)
		}
		if s.isIsolated(now) && now.Sub(s.lastIsolatedSync) >= isolatedSyncInterval {
			s.lastIsolatedSync = now
			s.syncList(ctx, 0)
		}
	})
	return nil
}

// isIsolated reports whether this node does not lead and has received no heartbeat for isolationDelay.
func (s *HoldSyncer) isIsolated(now time.Time) bool {
	if s.LeaderEpoch(now) > 0 || !s.HasNoPeers(now) {
		s.isolatedSince = time.Time{}
		return false
	}
	if s.isolatedSince.IsZero() {
		s.isolatedSince = now
	}
	return now.Sub(s.isolatedSince) >= isolationDelay
}

// restore merges the list left from before a restart, if any, and reports whether the store answered.
func (s *HoldSyncer) restore(ctx context.Context) bool {
	l, err := s.Recent(ctx, keys.Quarantine)
	if err != nil {
		return false
	}
	for _, o := range l.Objects {
		if o.Key == keys.Held {
			s.mergeObject(o)
		}
	}
	return true
}

// mergeObject merges a stored list into the table.
func (s *HoldSyncer) mergeObject(o infra.Object) {
	records, err := ParseStoredList(o.Value, clock.Now())
	if err != nil {
		_ = level.Error(s.Logger).Log("msg", "stored list of held requests is unreadable and will be replaced", "key", o.Key, "err", err)
		return
	}
	s.Table.Merge(records, Source{}, clock.Now())
}

// syncList reads the list at the beginning of an epoch or of an era of the store, or every time if epoch is zero, and writes it if
// it has changed.
func (s *HoldSyncer) syncList(ctx context.Context, epoch int64) {
	era := s.era()
	if isLoaded := epoch != 0 && s.loadedEpoch == epoch && s.loadedEra == era; !isLoaded && !s.load(ctx) {
		return
	}
	s.loadedEpoch, s.loadedEra = epoch, era
	now := clock.Now()
	holds := s.Table.Holds(now)
	if !s.differsFromStore(holds, now) {
		return
	}
	outcome, version, err := s.Objects.Put(ctx, keys.Held, NewStoredList(holds, now), s.version)
	if outcome != infra.Applied {
		s.loadedEpoch = 0 // read again: another leader may have written the list, or the reply was lost
		_ = level.Warn(s.Logger).Log("msg", "writing the list of held requests failed", "key", keys.Held, "err", err)
		return
	}
	s.version = version
	s.written = make(map[Fingerprint]writtenHold, len(holds))
	for _, r := range holds {
		s.written[r.Fingerprint] = writtenHold{len(r.Endings), now.Add(r.Hold)}
	}
}

func (s *HoldSyncer) era() int64 {
	if s.Era == nil {
		return 0
	}
	return s.Era()
}

// load reads the list and reports whether the store answered.
func (s *HoldSyncer) load(ctx context.Context) bool {
	o, err := s.Objects.Get(ctx, keys.Held)
	s.written = nil
	switch {
	case errors.Is(err, infra.ErrNotFound):
		s.version = 0
	case err != nil:
		return false
	default:
		s.version = o.Version
		s.mergeObject(o)
		s.written = holdsIn(o)
	}
	return true
}

// holdsIn returns the holds in a stored list.
func holdsIn(o infra.Object) map[Fingerprint]writtenHold {
	records, err := ParseStoredList(o.Value, clock.Now())
	if err != nil {
		return nil // mergeObject has logged the error
	}
	now := clock.Now()
	out := make(map[Fingerprint]writtenHold, len(records))
	for _, r := range records {
		out[r.Fingerprint] = writtenHold{len(r.Endings), now.Add(r.Hold)}
	}
	return out
}

// differsFromStore reports whether the holds differ from those in the stored list by more than holdTolerance.
func (s *HoldSyncer) differsFromStore(holds []Record, now time.Time) bool {
	removed := maps.Clone(s.written)
	for _, r := range holds {
		w, known := s.written[r.Fingerprint]
		if !known || w.endingCount != len(r.Endings) || now.Add(r.Hold).Sub(w.until) > holdTolerance {
			return true
		}
		delete(removed, r.Fingerprint)
	}
	return len(removed) > 0
}
