package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
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
	// maxQueryInterval is the interval at which a node that does not wait for others queries an unavailable store.
	maxQueryInterval = 500 * time.Millisecond
	// retryWatchTimeout is how long a watch waits for changes after a failed one: the answer tells that the store is back.
	retryWatchTimeout = 10 * time.Millisecond
	// maxAnswerDelay is how long after the end of its wait a watch may be answered before the store counts as unavailable.
	maxAnswerDelay = 100 * time.Millisecond
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
	failed     func(prefix string, sent time.Time, err error)
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
	proofAge func(now time.Time) time.Duration // age of the copy
	// entriesExpire is set if entries may expire while the store is unavailable, and those of live endpoints reappear soon
	// after.
	entriesExpire bool
	recovery      *recovery
	held          heldChanges
	failing       atomic.Bool               // the last query failed
	answered      atomic.Pointer[time.Time] // when the last query was answered; nil while the source does not query the store
	// supersedes reports whether a listed object is certainly newer than the one held; nil if that cannot be told.
	supersedes func(listed, held infra.Object) bool
	// dropped, if not nil, is called with the number of objects of an answer that were older than those held.
	dropped func(n int)
	// wentBack, if not nil, is called if the store lists an older state than it has told before.
	wentBack func(prefix string, to, from int64)
	newest   int64 // highest version that the store has reached in its answers
}

// run lists and watches the prefix until ctx ends.
func (s *source) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	version := int64(0)
	for ctx.Err() == nil {
		active := s.wanted(version > 0) || s.failing.Load() && s.mustProbe()
		if s.watching != nil {
			s.watching(active)
		}
		if !active {
			version = 0
			s.failing.Store(false)
			s.answered.Store(nil)
			s.release()
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
				s.failed(s.prefix, sent, err)
			}
			s.recovery.queryFailed(sent, clock.Now(), s.failing.Swap(true))
			s.waitToRetry(ctx, version > 0, s.retryDelay(sent, retry.NextBackOff()))
			continue
		}
		s.noteSuccess()
		retry.Reset()
		version = next
		s.proved(s.prefix, sent)
		s.release()
		if changed {
			loop.Sleep(ctx, s.batchDelay)
		}
	}
	return nil
}

// noteSuccess records that a query was answered.
func (s *source) noteSuccess() {
	now := clock.Now()
	s.failing.Store(false)
	s.answered.Store(&now)
}

// isOverdue reports whether this source queries the store and the answer to a query is overdue.
func (s *source) isOverdue(now time.Time) bool {
	at := s.answered.Load()
	return at != nil && now.Sub(*at) > s.wait+s.batchDelay+maxAnswerDelay
}

// release stores the changes that have been held back for long enough, and does so again when the others are due. While the store may be
// unavailable again it stores none: what is missing could not come back. The next answer releases them.
func (s *source) release() {
	if s.failing.Load() || s.isOverdue(clock.Now()) {
		return
	}
	s.mirror.Put(s.held.due(clock.Now())...)
	s.held.releaseWhenDue(s.release)
}

// retryDelay returns the minimum time to wait after a query that was sent at the given time and has failed. A node that does not wait for
// others, or for few, queries the store at least every maxQueryInterval: perhaps nobody else tells it that the store is back.
func (s *source) retryDelay(sent time.Time, backoff time.Duration) time.Duration {
	if s.queryDelay(1) > maxQueryInterval {
		return backoff
	}
	return min(backoff, max(clock.Until(sent.Add(maxQueryInterval)), minRetryDelay))
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
	sent := clock.Now()
	if version > 0 {
		wait := s.wait
		if s.failing.Load() {
			wait = min(wait, retryWatchTimeout)
		}
		l, err := s.objects.Watch(ctx, s.prefix, version, wait)
		if err != nil {
			return version, false, err
		}
		s.noteAnswer(sent)
		s.noteVersion(l.Version)
		s.put(l.Objects)
		return max(version, l.Version), len(l.Objects) > 0, nil
	}
	l, err := s.objects.List(ctx, s.prefix)
	if err != nil {
		return 0, false, err
	}
	s.noteAnswer(sent)
	s.noteVersion(l.Version)
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Key] = true
	}
	l.Objects = slices.DeleteFunc(l.Objects, isUnreadable)
	for _, o := range s.mirror.List(s.prefix) {
		if !listed[o.Key] {
			l.Objects = append(l.Objects, infra.Object{Key: o.Key, Version: l.Version, Deleted: true})
		}
	}
	if s.cameFromCopy(l.Version) {
		l.Objects = s.holdStale(l.Objects)
	}
	s.put(l.Objects)
	return l.Version, false, nil
}

// isUnreadable reports whether an object is listed without a version.
func isUnreadable(o infra.Object) bool { return o.Version <= 0 }

// noteAnswer records that the store has answered a query.
func (s *source) noteAnswer(sent time.Time) {
	until := s.recovery.queryAnswered(sent, clock.Now())
	if s.entriesExpire {
		s.held.startUntil(until, storeOutage)
	}
}

// noteVersion records the version that an answer of the store reaches. A list reaches at least what any earlier answer did.
func (s *source) noteVersion(version int64) {
	if version < s.newest && s.wentBack != nil {
		s.wentBack(s.prefix, version, s.newest)
	}
	s.newest = max(s.newest, version)
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
	if _, older := s.mirror.Update(taken); older > 0 && s.dropped != nil {
		s.dropped(older)
	}
	s.held.releaseWhenDue(s.release)
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

// Version returns the store's version of a mirrored object.
func Version(o infra.Object) int64 { return o.Version / 2 }
