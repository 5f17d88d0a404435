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
	firstRetry = 100 * time.Millisecond
	// lastRetry caps the wait between tries: every bound on a node out of touch is a few seconds.
	lastRetry = 700 * time.Millisecond
	// backWithin is how soon nodes ask a store that has answered others again after it answered nobody.
	backWithin = time.Second
)

// source copies the objects below one prefix from the store into the mirror, while it is wanted.
type source struct {
	prefix  string
	objects infra.ObjectStore
	mirror  *mirror.Mirror
	wait    time.Duration // of one watch
	gather  time.Duration // pause after a change, so that changes in a row cost one call
	proved  func(prefix string, at time.Time)
	failed  func(prefix string, err error)
	wanted  func(watching bool) bool // watching says that this source has listed everything and watches
	// turn returns after how long a node that has drawn that number, 0 to 1, asks a store again that does not answer.
	turn     func(draw float64) time.Duration
	answered func() time.Time // the store has last answered this node
	insists  func() bool      // an unanswered question is asked again though what it asks for is not wanted any more
	// probes says that this source is the one that does so; the others of the node wait for its answer. Asking for each prefix
	// would triple the calls of a relay that the store refuses, and tell it nothing more.
	probes bool
	// watching is told when asking begins and when it has ended; nil if nobody wants to know.
	watching func(bool)
	// lapses, if set, says that entries may run out while the store is away, and that those of endpoints that live
	// come back soon after. age tells how old the copy is.
	lapses bool
	age    func(now time.Time) time.Duration
	absent absentees
}

// run watches until ctx ends.
func (s *source) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	version := int64(0)
	failing := false // the last question was not answered
	for ctx.Err() == nil {
		asks := s.wanted(version > 0) || failing && s.insists()
		if s.watching != nil {
			s.watching(asks)
		}
		if !asks {
			version, failing = 0, false
			loop.Sleep(ctx, firstRetry)
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
			s.rest(ctx, version > 0, retry.NextBackOff())
			continue
		}
		failing = false
		retry.Reset()
		version = next
		s.proved(s.prefix, sent)
		s.mirror.Put(s.absent.due(clock.Now())...)
		if changed {
			loop.Sleep(ctx, s.gather)
		}
	}
	return nil
}

// rest waits after a failure: for least, and then until it is this node's turn to ask, until there is nothing to ask any
// more, or until another of its sources has been answered. If nobody had been answered for a while and others are answered now, the turn comes within a second: a
// node that does not know whether the store answers it does not lead.
func (s *source) rest(ctx context.Context, watching bool, least time.Duration) {
	failed := clock.Now()
	draw := rand.Float64() //nolint:gosec // spreads questions
	forAll := s.age(failed) > patience
	var back time.Time // others have been answered since
	loop.Sleep(ctx, least)
	for ctx.Err() == nil && !s.answered().After(failed) {
		if !s.insists() && !s.wanted(watching) {
			return
		}
		now := clock.Now()
		if back.IsZero() && s.age(now) < now.Sub(failed) {
			back = now
		}
		due := now.Sub(failed) >= s.turn(draw) ||
			forAll && s.insists() && !back.IsZero() && now.Sub(back) >= time.Duration(draw*float64(backWithin))
		if due && (s.probes || s.wanted(watching)) {
			return
		}
		loop.Sleep(ctx, firstRetry)
	}
}

// next lists or watches once and returns the store version reached and whether anything came.
func (s *source) next(ctx context.Context, version int64) (int64, bool, error) {
	away := s.lapses && s.age(clock.Now()) > awayFor
	if version > 0 {
		l, err := s.objects.Watch(ctx, s.prefix, version, s.wait)
		if err != nil {
			return version, false, err
		}
		s.returned(away)
		s.put(l.Objects)
		return max(version, l.Version), len(l.Objects) > 0, nil
	}
	l, err := s.objects.List(ctx, s.prefix)
	if err != nil {
		return 0, false, err
	}
	s.returned(away)
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

// returned notes that the store has answered, after it was away or not.
func (s *source) returned(away bool) {
	if away {
		s.absent.wait(clock.Now())
	}
}

// put takes objects into the copy. For some time after the store was away, removals are held back.
func (s *source) put(objects []infra.Object) {
	now := clock.Now()
	taken := make([]infra.Object, 0, len(objects))
	for _, o := range objects {
		if o = ordered(o); !s.absent.holds(o, now) {
			taken = append(taken, o)
		}
	}
	s.mirror.Put(taken...)
}

// ordered gives an object a version at which its removal comes after its last change, though the store may tell
// both with one revision.
func ordered(o infra.Object) infra.Object {
	o.Version *= 2
	if o.Deleted {
		o.Version++
		o.Value = nil
	}
	return o
}

// Revision returns the store's revision of a mirrored object.
func Revision(o infra.Object) int64 { return o.Version / 2 }
