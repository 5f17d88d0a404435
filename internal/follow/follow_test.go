package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// fakeStore answers lists and watches from scripts.
type fakeStore struct {
	infra.ObjectStore
	mu      sync.Mutex
	lists   int
	list    infra.Listing
	watches []func() (infra.Listing, error)
	idle    chan bool // closed when all scripts are played
}

func (f *fakeStore) List(context.Context, string) (infra.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.list, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (infra.Listing, error) {
	f.mu.Lock()
	if len(f.watches) == 0 {
		f.mu.Unlock()
		close(f.idle)
		<-ctx.Done()
		return infra.Listing{}, ctx.Err()
	}
	next := f.watches[0]
	f.watches = f.watches[1:]
	f.mu.Unlock()
	return next()
}

func object(name string, version int64) infra.Object {
	return infra.Object{Key: keys.Endpoints + name, Version: version, Value: []byte(`{}`)}
}

// runSource runs a source over f until it waits for ever, and returns what it holds and when it was proved.
func runSource(t *testing.T, f *fakeStore, m *mirror.Mirror) (proofs []time.Time) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f.idle = make(chan bool)
	var mu sync.Mutex
	s := &source{
		prefix: keys.Endpoints, objects: f, mirror: m, wanted: func(bool) bool { return true }, failed: func(string, error) {},
		turn: func(float64) time.Duration { return 0 }, answered: func() time.Time { return time.Time{} }, age: func(time.Time) time.Duration { return 0 }, insists: func() bool { return true },
		proved: func(_ string, at time.Time) { mu.Lock(); proofs = append(proofs, at); mu.Unlock() },
	}
	done := make(chan bool)
	go func() { _ = s.run(ctx); close(done) }()
	<-f.idle
	cancel()
	<-done
	return proofs
}

func TestListingRemovesWhatIsNotInIt(t *testing.T) {
	m := mirror.New()
	m.Put(ordered(object("old", 3)))
	f := &fakeStore{list: infra.Listing{Version: 9, Objects: []infra.Object{object("new", 7)}}}
	runSource(t, f, m)
	_, there := m.Get(keys.Endpoints + "old")
	qt.Check(t, there, qt.IsFalse)
	o, there := m.Get(keys.Endpoints + "new")
	qt.Check(t, there, qt.IsTrue)
	qt.Check(t, Revision(o), qt.Equals, int64(7))
}

func TestRemovalIsTakenThoughItHasTheRevisionOfTheLastChange(t *testing.T) {
	m := mirror.New()
	f := &fakeStore{
		list: infra.Listing{Version: 5, Objects: []infra.Object{object("a", 5)}},
		watches: []func() (infra.Listing, error){func() (infra.Listing, error) {
			gone := object("a", 5)
			gone.Deleted = true
			return infra.Listing{Version: 6, Objects: []infra.Object{gone}}, nil
		}},
	}
	runSource(t, f, m)
	_, there := m.Get(keys.Endpoints + "a")
	qt.Check(t, there, qt.IsFalse)
}

func TestForgottenHistoryIsListedAgain(t *testing.T) {
	f := &fakeStore{list: infra.Listing{Version: 5}, watches: []func() (infra.Listing, error){
		func() (infra.Listing, error) { return infra.Listing{}, infra.ErrHistoryGone },
		func() (infra.Listing, error) { return infra.Listing{Version: 6}, nil },
	}}
	runSource(t, f, mirror.New())
	qt.Check(t, f.lists, qt.Equals, 2)
}

func TestProofCountsFromBeforeTheQuestion(t *testing.T) {
	var returned time.Time
	f := &fakeStore{list: infra.Listing{Version: 5}, watches: []func() (infra.Listing, error){func() (infra.Listing, error) {
		time.Sleep(20 * time.Millisecond)
		returned = time.Now()
		return infra.Listing{Version: 5}, nil
	}}}
	proofs := runSource(t, f, mirror.New())
	qt.Assert(t, proofs, qt.HasLen, 2)
	qt.Check(t, returned.Sub(proofs[1]) >= 20*time.Millisecond, qt.IsTrue, qt.Commentf("a watch that says nothing proves its beginning only"))
}

func TestFailedQuestionProvesNothing(t *testing.T) {
	f := &fakeStore{list: infra.Listing{Version: 5}, watches: []func() (infra.Listing, error){
		func() (infra.Listing, error) { return infra.Listing{}, errors.New("busy") },
	}}
	qt.Check(t, runSource(t, f, mirror.New()), qt.HasLen, 1)
}

// fakePuller answers pulls.
type fakePuller struct {
	sequence uint64
	objects  []infra.Object
	err      error
	asked    []uint64
}

func (f *fakePuller) Pull(_ context.Context, _, _ string, since uint64, _ bool) (uint64, []infra.Object, error) {
	f.asked = append(f.asked, since)
	return f.sequence, f.objects, f.err
}

func newTestFollower(p Puller, live ...*gossip.Peer) *Follower {
	return NewFollower(nil, p, "node-5", func() bool { return false }, func(time.Time) []*gossip.Peer { return live }, log.NewNopLogger())
}

func watcher(sequence uint64, proof time.Time) *gossip.Peer {
	return &gossip.Peer{
		Identity: gossip.Identity{VM: "node-1", Incarnation: "x"},
		Status:   gossip.Status{Watching: true, LeaderEpoch: 1, Sequence: sequence, ProofAt: proof}, Heard: time.Now(),
	}
}

func TestRelayedProofCountsOnlyWithTheContentItIsOf(t *testing.T) {
	p := &fakePuller{sequence: 4, objects: []infra.Object{ordered(object("a", 2))}, err: errors.New("cut off")}
	f := newTestFollower(p)
	at := time.Now()
	f.take(context.Background(), watcher(4, at))
	qt.Check(t, f.Current(keys.Accepted).IsZero(), qt.IsTrue, qt.Commentf("what it is a proof of has not been pulled"))
	p.err = nil
	f.take(context.Background(), watcher(4, at))
	qt.Check(t, f.Current(keys.Accepted), qt.Equals, at)
	_, there := f.Mirror.Get(keys.Endpoints + "a")
	qt.Check(t, there, qt.IsTrue)
	later := at.Add(time.Second)
	f.take(context.Background(), watcher(4, later))
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, later)
	qt.Check(t, p.asked, qt.HasLen, 2, qt.Commentf("nothing new: nothing to pull"))
	f.take(context.Background(), watcher(9, later.Add(time.Second)))
	qt.Check(t, f.Current(keys.Endpoints), qt.Equals, later, qt.Commentf("the pull has reached 4 only"))
	qt.Check(t, p.asked[2], qt.Equals, uint64(4))
}

func TestProofNeverGoesBack(t *testing.T) {
	f := newTestFollower(&fakePuller{sequence: 1})
	now := time.Now()
	f.take(context.Background(), watcher(1, now))
	f.take(context.Background(), watcher(1, now.Add(-time.Second)))
	qt.Check(t, f.Current(keys.Accepted), qt.Equals, now)
}

func TestOneNodeWatchesWhileItIsCurrent(t *testing.T) {
	now := time.Now()
	f := newTestFollower(&fakePuller{sequence: 1}, watcher(1, now))
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f = newTestFollower(&fakePuller{sequence: 1}, watcher(1, now.Add(-2*time.Second)))
	f.started = now.Add(-3 * time.Second)
	qt.Check(t, f.shouldWatch(false), qt.IsTrue, qt.Commentf("the watcher has not been current for two seconds"))
	f = newTestFollower(nil)
	f.started = now.Add(-3 * time.Second)
	qt.Check(t, f.shouldWatch(false), qt.IsTrue, qt.Commentf("nobody else"))
}

func TestWholeIsAsOldAsItsOldestPart(t *testing.T) {
	p := newProof("a", "b")
	at, watching := p.whole()
	qt.Check(t, at.IsZero() && !watching, qt.IsTrue)
	now := time.Now()
	p.fromStore("a", now)
	at, _ = p.whole()
	qt.Check(t, at.IsZero(), qt.IsTrue, qt.Commentf("nothing is known of b"))
	p.fromStore("b", now.Add(-time.Second))
	at, watching = p.whole()
	qt.Check(t, at, qt.Equals, now.Add(-time.Second))
	qt.Check(t, watching, qt.IsTrue)
	p.fromPeer(now.Add(-time.Millisecond))
	at, watching = p.whole()
	qt.Check(t, at, qt.Equals, now.Add(-time.Millisecond))
	qt.Check(t, watching, qt.IsFalse)
}

func TestNewProcessAsksTheStoreSoonUnlessOthersTellIt(t *testing.T) {
	nobody := func(time.Time) []*gossip.Peer { return nil }
	f := NewFollower(nil, nil, "b", func() bool { return false }, nobody, log.NewNopLogger())
	const patience = 150 * time.Millisecond
	f.StartPatience = func() time.Duration { return patience }
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f.started = time.Now().Add(-2 * patience)
	qt.Check(t, f.shouldWatch(false), qt.IsTrue)
	f.live = func(now time.Time) []*gossip.Peer {
		return []*gossip.Peer{{Identity: gossip.Identity{VM: "a"}, Status: gossip.Status{Watching: true, ProofAt: now}}}
	}
	qt.Check(t, f.shouldWatch(false), qt.IsFalse, qt.Commentf("another node has what it needs"))
}

// pagedPuller gives one object a reply and fails at a sequence.
type pagedPuller struct {
	last   uint64
	failAt uint64
}

func (p *pagedPuller) Pull(_ context.Context, _, _ string, since uint64, _ bool) (uint64, []infra.Object, error) {
	if since == p.failAt {
		return 0, nil, infra.ErrUnavailable
	}
	if since == p.last {
		return since, nil, nil
	}
	key := keys.Endpoints + string(rune('a'+since))
	return since + 1, []infra.Object{{Key: key, Version: 1}}, nil
}

func TestCopyThatComesInPartsIsKeptAndProvedWhenItIsWhole(t *testing.T) {
	puller := &pagedPuller{last: 5, failAt: 3}
	f := newTestFollower(puller)
	proof := time.Now()
	f.take(context.Background(), watcher(5, proof))
	qt.Check(t, f.Mirror.List(keys.Endpoints), qt.HasLen, 3, qt.Commentf("what came before the failure is kept"))
	at, _ := f.Whole()
	qt.Check(t, at.IsZero(), qt.IsTrue, qt.Commentf("a part proves nothing"))
	puller.failAt = 1 // it goes on after what it has
	f.take(context.Background(), watcher(5, proof))
	qt.Check(t, f.Mirror.List(keys.Endpoints), qt.HasLen, 5)
	at, _ = f.Whole()
	qt.Check(t, at, qt.Equals, proof)
}

func TestNodeThatHasLessThanItSaidProvesNothing(t *testing.T) {
	f := newTestFollower(&pagedPuller{last: 2, failAt: 9})
	f.take(context.Background(), watcher(5, time.Now()))
	at, _ := f.Whole()
	qt.Check(t, at.IsZero(), qt.IsTrue)
}
