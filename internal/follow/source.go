package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/mirror"
)

const (
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay caps the backoff between attempts: all time limits for a node that is cut off are a few seconds.
	maxRetryDelay = 700 * time.Millisecond
	// recoverySpread is the time within which nodes query a store that answers other nodes again after an outage.
	recoverySpread = time.Second
)

// source copies the objects below one prefix from the store into the mirror while wanted returns true.
type source struct {
	prefix     string
	objects    infra.ObjectStore
	mirror     *mirror.Mirror
	wait       time.Duration // timeout of one watch
	batchDelay time.Duration // pause after a change, so that one call fetches several changes
	proved     func(prefix string, at time.Time)
	failed     func(prefix string, err error)
	wanted     func(watching bool) bool // watching is set if this source has listed all objects and watches for changes
	// queryDelay returns how long a node waits before it queries an unavailable store again, for a random number from 0 to 1.
	queryDelay   func(jitter float64) time.Duration
	lastAnswered func() time.Time // when the store last answered this node
	mustProbe    func() bool      // a failed query is repeated even if its result is no longer wanted
	// probes is set for the one of the node's sources that repeats failed queries for mustProbe; the others wait until it is
	// answered. Querying each prefix would triple the calls of a relay that the store refuses, and give no more information.
	probes bool
	// watching, if not nil, is called before each query with true, and with false while the source does not query the store.
	watching func(bool)
	// entriesExpire is set if entries may expire while the store is unavailable, and those of live endpoints reappear soon
	// after. proofAge returns the age of the copy.
	entriesExpire bool
	proofAge      func(now time.Time) time.Duration
	held          heldRemovals
}

// run lists and watches the prefix until ctx ends.
func (s *source) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	version := int64(0)
	failing := false // the last query failed
	for ctx.Err() == nil {
		active := s.wanted(version > 0) || failing && s.mustProbe()
		if s.watching != nil {
			s.watching(active)
		}
		if !active {
			version, failing = 0, false
			loop.Sleep(ctx, minRetryDelay)
			continue
		}
		sent := clock.Now()
		next, changed, err := s.next(ctx, version)
		if errors.Is(err, infra.ErrHistoryGone) {
			version = 0
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				s.failed(s.prefix, err)
			}
			failing = true
			s.waitToRetry(ctx, version > 0, retry.NextBackOff())
			continue
		}
		failing = false
		retry.Reset()
		version = next
		s.proved(s.prefix, sent)
		s.mirror.Put(s.held.due(clock.Now())...)
		if changed {
			loop.Sleep(ctx, s.batchDelay)
		}
	}
	return nil
}

// waitToRetry waits after a failed query: at least for minimum, and then until this node's query delay has passed, the query is
// no longer needed, or another source of this node has been answered. If no node had been answered for some time and others
// now are, a node that must probe waits at most recoverySpread, one second: it cannot lead until the store has answered it
// again.
func (s *source) waitToRetry(ctx context.Context, watching bool, minimum time.Duration) {
	failed := clock.Now()
	jitter := rand.Float64() //nolint:gosec // spreads queries over time, not security relevant
	outageForAll := s.proofAge(failed) > relayMaxProofAge
	var recoveredAt time.Time // when this node first detected that the store answers others again
	loop.Sleep(ctx, minimum)
	for ctx.Err() == nil && !s.lastAnswered().After(failed) {
		if !s.mustProbe() && !s.wanted(watching) {
			return
		}
		now := clock.Now()
		if recoveredAt.IsZero() && s.proofAge(now) < now.Sub(failed) {
			recoveredAt = now
		}
		due := now.Sub(failed) >= s.queryDelay(jitter) ||
			outageForAll && s.mustProbe() && !recoveredAt.IsZero() && now.Sub(recoveredAt) >= time.Duration(jitter*float64(recoverySpread))
		if due && (s.probes || s.wanted(watching)) {
			return
		}
		loop.Sleep(ctx, minRetryDelay)
	}
}

// next lists or watches once, and returns the store version reached and whether a watch returned changes.
func (s *source) next(ctx context.Context, version int64) (int64, bool, error) {
	outage := s.entriesExpire && s.proofAge(clock.Now()) > outageAge
	if version > 0 {
		l, err := s.objects.Watch(ctx, s.prefix, version, s.wait)
		if err != nil {
			return version, false, err
		}
		s.noteAnswer(outage)
		s.put(l.Objects)
		return max(version, l.Version), len(l.Objects) > 0, nil
	}
	l, err := s.objects.List(ctx, s.prefix)
	if err != nil {
		return 0, false, err
	}
	s.noteAnswer(outage)
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Key] = true
	}
	for _, o := range s.mirror.List(s.prefix) {
		if !listed[o.Key] {
			l.Objects = append(l.Objects, infra.Object{Key: o.Key, Version: l.Version, Deleted: true})
		}
	}
	s.put(l.Objects)
	return l.Version, false, nil
}

// noteAnswer records that the store has answered; outage is set if it was unavailable before.
func (s *source) noteAnswer(outage bool) {
	if outage {
		s.held.start(clock.Now())
	}
}

// put stores objects in the mirror. For some time after an outage of the store, removals are held back.
func (s *source) put(objects []infra.Object) {
	now := clock.Now()
	taken := make([]infra.Object, 0, len(objects))
	for _, o := range objects {
		if o = withMirrorVersion(o); !s.held.hold(o, now) {
			taken = append(taken, o)
		}
	}
	s.mirror.Put(taken...)
}

// withMirrorVersion returns the object with the version that it has in the mirror: twice the store's revision, plus one for a
// removal, because the store may report an object's last change and its removal with the same revision.
func withMirrorVersion(o infra.Object) infra.Object {
	o.Version *= 2
	if o.Deleted {
		o.Version++
		o.Value = nil
	}
	return o
}

// Revision returns the store's revision of a mirrored object.
func Revision(o infra.Object) int64 { return o.Version / 2 }
