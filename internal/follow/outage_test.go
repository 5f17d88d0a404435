package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// outageKind is how queries fail during an outage.
type outageKind string

const (
	refused outageKind = "refused"
	noDial  outageKind = "dials are not answered"
	silent  outageKind = "queries are not answered"
)

const (
	testDialTimeout  = 350 * time.Millisecond
	testQueryTimeout = 1200 * time.Millisecond
	testAnswerTime   = 4 * time.Millisecond
)

var errOutage = errors.New("store unavailable")

// outageStore is a store with endpoints' entries that can be unavailable. Its queries take the times of a real one.
type outageStore struct {
	infra.ObjectStore
	mu       sync.Mutex
	kind     outageKind
	down     bool
	revision int64
	entries  map[string]int64 // revision by name
	changes  []infra.Object
	queries  int
}

func newOutageStore(names ...string) *outageStore {
	s := &outageStore{entries: make(map[string]int64)}
	for _, name := range names {
		s.put(name)
	}
	return s
}

func (s *outageStore) setDown(kind outageKind, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind, s.down = kind, down
}

func (s *outageStore) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[name] = s.revision
	s.changes = append(s.changes, object(name, s.revision))
}

func (s *outageStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.entries, name)
	s.changes = append(s.changes, removal(name, s.revision))
}

func (s *outageStore) lists(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[name] > 0
}

// query fails as the outage has it, or takes as long as an answer.
func (s *outageStore) query(timeout time.Duration) error {
	s.mu.Lock()
	s.queries++
	down, kind := s.down, s.kind
	s.mu.Unlock()
	switch {
	case !down:
		time.Sleep(testAnswerTime)
		return nil
	case kind == noDial:
		time.Sleep(testDialTimeout)
	case kind == silent:
		time.Sleep(timeout)
	}
	return errOutage
}

func (s *outageStore) List(_ context.Context, prefix string) (infra.Listing, error) {
	if err := s.query(testQueryTimeout); err != nil {
		return infra.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := infra.Listing{Version: s.revision}
	if prefix == keys.Endpoints {
		for name, revision := range s.entries {
			l.Objects = append(l.Objects, object(name, revision))
		}
	}
	return l, nil
}

func (s *outageStore) Watch(ctx context.Context, prefix string, version int64, wait time.Duration) (infra.Listing, error) {
	begin := time.Now()
	if err := s.query(testQueryTimeout + wait); err != nil {
		return infra.Listing{}, err
	}
	for {
		l, down := s.since(prefix, version)
		switch {
		case down:
			time.Sleep(time.Until(begin.Add(testQueryTimeout + wait)))
			return infra.Listing{}, errOutage
		case len(l.Objects) > 0 || time.Since(begin) >= wait || ctx.Err() != nil:
			return l, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *outageStore) since(prefix string, version int64) (l infra.Listing, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.Version = s.revision
	if prefix == keys.Endpoints {
		l.Objects = slices.DeleteFunc(slices.Clone(s.changes), func(o infra.Object) bool { return o.Version <= version })
	}
	return l, s.down
}

// followAlone runs a node that hears no other one beside the store, and calls play.
func followAlone(t *testing.T, store *outageStore, play func(f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newTestFollower(emptyPeers{})
		f.objects = store
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(time.Second)
		play(f)
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
}

const (
	// storeRecovery is the time after which a node that reaches the store again has to have applied what it missed.
	storeRecovery = 3 * time.Second
	// lapseLimit is the time after the store's recovery by which entries of live endpoints are back.
	lapseLimit = 2 * time.Second
	outageStep = 37 * time.Millisecond
	outages    = 40
)

// Guards against requests to an endpoint that left while this node could not reach the store, long after it can reach it again. The other
// relays, if any, were cut off, too.
func TestRemovalDuringAnOutageCountsSoonAfterIt(t *testing.T) {
	for _, relays := range []int{0, 2} {
		for _, kind := range []outageKind{refused, noDial, silent} {
			for i := range outages {
				store := newOutageStore("gone", "stays")
				followBeside(t, store, relays, func(f *Follower) {
					store.setDown(kind, true)
					time.Sleep(2 * time.Second)
					store.remove("gone")
					time.Sleep(3500*time.Millisecond + time.Duration(i)*outageStep)
					store.setDown(kind, false)
					time.Sleep(storeRecovery)
					qt.Check(t, stateOf(f.Mirror, "gone"), qt.Equals, "none", qt.Commentf("%d relays, %s, phase %d", relays, kind, i))
					qt.Check(t, stateOf(f.Mirror, "stays"), qt.Equals, "{}")
				})
			}
		}
	}
}

// Guards against refusals while the entries of live endpoints, which have lapsed during an outage of the store, are not back yet.
func TestEntriesThatLapseDuringAnOutageAndComeBackAreKept(t *testing.T) {
	// A query that is not answered tells of the store only when it times out. The endpoints' next write is due within their interval.
	backAfter := map[outageKind]time.Duration{refused: lapseLimit, noDial: lapseLimit, silent: 1200 * time.Millisecond}
	for _, kind := range []outageKind{refused, noDial, silent} {
		for i := range outages {
			store := newOutageStore("lapses")
			followAlone(t, store, func(f *Follower) {
				store.setDown(kind, true)
				time.Sleep(3500 * time.Millisecond)
				store.remove("lapses")
				time.Sleep(2*time.Second + time.Duration(i)*outageStep)
				store.setDown(kind, false)
				for returned := time.Now(); time.Since(returned) < storeRecovery+time.Second; time.Sleep(10 * time.Millisecond) {
					if time.Since(returned) >= backAfter[kind] && !store.lists("lapses") {
						store.put("lapses")
					}
					if stateOf(f.Mirror, "lapses") != "{}" {
						t.Errorf("%s, phase %d: missing %v after the store's return", kind, i, time.Since(returned))
						break
					}
				}
			})
		}
	}
}

// Guards against a removal that is applied while the store, which had come back, is unavailable again: the entry could not come back.
func TestEntriesThatLapsedAreKeptThroughASecondOutage(t *testing.T) {
	for _, kind := range []outageKind{refused, noDial} {
		for i := range outages {
			store := newOutageStore("lapses")
			followAlone(t, store, func(f *Follower) {
				store.setDown(kind, true)
				time.Sleep(3500 * time.Millisecond)
				store.remove("lapses")
				time.Sleep(time.Second + time.Duration(i)*outageStep)
				store.setDown(kind, false)
				time.Sleep(time.Second)
				store.setDown(kind, true)
				time.Sleep(4 * time.Second)
				qt.Check(t, stateOf(f.Mirror, "lapses"), qt.Equals, "{}", qt.Commentf("%s, phase %d, during the second outage", kind, i))
				store.setDown(kind, false)
				time.Sleep(lapseLimit - 50*time.Millisecond)
				qt.Check(t, stateOf(f.Mirror, "lapses"), qt.Equals, "{}", qt.Commentf("%s, phase %d, after it", kind, i))
				time.Sleep(storeRecovery - lapseLimit + 50*time.Millisecond)
				qt.Check(t, stateOf(f.Mirror, "lapses"), qt.Equals, "none")
			})
		}
	}
}

// Guards against endpoints that are dropped by a node which queried the store long before its return, because it takes turns with others,
// and to which another one has told that the store is back.
func TestEntriesThatLapsedAreKeptWhereAnotherNodeWasAnsweredFirst(t *testing.T) {
	for _, relays := range []int{2, 8, 70} {
		for i := range outages {
			store := newOutageStore("lapses", "stays")
			followBeside(t, store, relays, func(f *Follower) {
				store.setDown(refused, true)
				time.Sleep(4 * time.Second)
				store.remove("lapses")
				time.Sleep(time.Second + time.Duration(i)*outageStep)
				store.setDown(refused, false)
				returned := time.Now()
				time.Sleep(time.Duration(i) * maxQueryInterval / outages)
				relayProofs(f, returned.Add(lapseLimit))
				qt.Check(t, stateOf(f.Mirror, "lapses"), qt.Equals, "{}", qt.Commentf("%d relays, phase %d", relays, i))
				qt.Check(t, f.lastAnswered().After(returned), qt.IsTrue, qt.Commentf("the store has answered this node"))
				relayProofs(f, returned.Add(storeRecovery))
				qt.Check(t, stateOf(f.Mirror, "lapses"), qt.Equals, "none", qt.Commentf("%d relays, phase %d", relays, i))
				qt.Check(t, stateOf(f.Mirror, "stays"), qt.Equals, "{}")
			})
		}
	}
}

// followBeside runs a node that hears the given number of other relays, and calls play once it has had its first copy.
func followBeside(t *testing.T, store *outageStore, relays int, play func(f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := NewFollower(store, &fakePuller{sequence: 1}, "node-5", func() bool { return false }, relayPeers(relays), log.NewNopLogger())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		play(f)
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
}

// relayProofs makes the node receive heartbeats of a leader that the store answers, until the given time.
func relayProofs(f *Follower, until time.Time) {
	for time.Now().Before(until) {
		f.EnqueueBeat(watchingLeader(1, time.Now()))
		time.Sleep(min(100*time.Millisecond, time.Until(until)))
	}
}

// Guards against a removal that is held back because this node's copy is old, although nothing shows that the store was unavailable: the
// nodes that kept the copy current are lost.
func TestRemovalCountsAtOnceWhereOnlyTheCopyIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newOutageStore("gone", "stays")
		leader := watchingLeader(1, time.Now())
		var lost atomic.Bool
		live := func(time.Time) []*gossip.Peer {
			if lost.Load() {
				return nil
			}
			return []*gossip.Peer{leader}
		}
		copied := []infra.Object{withMirrorVersion(object("gone", 1)), withMirrorVersion(object("stays", 2))}
		f := NewFollower(store, &fakePuller{sequence: 1, objects: copied}, "node-5", func() bool { return false }, live, log.NewNopLogger())
		f.Relaying = func() bool { return false }
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		f.EnqueueBeat(leader)
		time.Sleep(time.Second)
		qt.Assert(t, stateOf(f.Mirror, "gone"), qt.Equals, "{}")
		lost.Store(true)
		store.remove("gone")
		time.Sleep(reporterMaxProofAge)
		qt.Check(t, stateOf(f.Mirror, "gone"), qt.Equals, "none")
		qt.Check(t, stateOf(f.Mirror, "stays"), qt.Equals, "{}")
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
}
