package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// downStore counts the questions that it does not answer while it is down.
type downStore struct {
	infra.ObjectStore
	asked atomic.Int64
	up    atomic.Bool

	mu       sync.Mutex
	byPrefix map[string]int
}

// askedFor returns how many of the questions were for a prefix.
func (d *downStore) askedFor(prefix string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byPrefix[prefix]
}

func (d *downStore) List(_ context.Context, prefix string) (infra.Listing, error) {
	d.asked.Add(1)
	d.mu.Lock()
	if d.byPrefix == nil {
		d.byPrefix = make(map[string]int)
	}
	d.byPrefix[prefix]++
	d.mu.Unlock()
	if !d.up.Load() {
		return infra.Listing{}, errors.New("down")
	}
	return infra.Listing{Version: 1}, nil
}

func (d *downStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (infra.Listing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return infra.Listing{Version: 1}, ctx.Err()
}

// crowd returns that many other relays, which know nothing.
func crowd(n int) func(time.Time) []*gossip.Peer {
	list := make([]*gossip.Peer, n)
	for i := range list {
		list[i] = &gossip.Peer{Status: gossip.Status{Relay: true}}
	}
	return func(time.Time) []*gossip.Peer { return list }
}

// currentFollower returns one that was current some time ago and hears that many other nodes.
func currentFollower(store *downStore, others int) *Follower {
	f := NewFollower(store, emptyCopies{}, "n", func() bool { return false }, crowd(others), log.NewNopLogger())
	f.proof.fromPeer(time.Now().Add(-time.Minute))
	return f
}

// questions returns how often the nodes of a fleet ask a store that is down.
func questions(t *testing.T, nodes int, runs time.Duration, newFollower func(store *downStore, others int) *Follower) int64 {
	t.Helper()
	store := &downStore{}
	ctx, cancel := context.WithTimeout(context.Background(), runs)
	defer cancel()
	var g errgroup.Group
	for range nodes {
		f := newFollower(store, nodes-1)
		g.Go(func() error { return f.Run(ctx) })
	}
	qt.Assert(t, g.Wait(), qt.IsNil)
	return store.asked.Load()
}

func TestQuestionsToAStoreThatIsDownDoNotGrowWithTheFleet(t *testing.T) {
	few, many := questions(t, 10, 4*time.Second, currentFollower), questions(t, 80, 4*time.Second, currentFollower)
	// Each node asks once at the start for each of the two prefixes, and then takes turns: 20 questions a second.
	qt.Check(t, few <= 2*10+2*80, qt.IsTrue, qt.Commentf("%d", few))
	qt.Check(t, many <= 2*80+2*80, qt.IsTrue, qt.Commentf("%d", many))
}

func TestNodeThatTheStoreAnswersAsksForTheRestAtOnce(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := currentFollower(store, 1000)
	go func() { _ = f.Run(ctx) }()
	for store.asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.up.Store(true)
	f.proved("another/", time.Now().Add(time.Second)) // as if a question had just been answered
	f.mu.Lock()
	f.answer = time.Now().Add(time.Second)
	f.mu.Unlock()
	before := time.Now()
	for {
		if at, _ := f.Whole(); at.After(before) {
			return // long before its turn, which comes after 100 s on average
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newNode returns a Follower that has never had a copy and hears that many other nodes.
func newNode(store *downStore, others int) *Follower {
	return NewFollower(store, emptyCopies{}, "n", func() bool { return false }, crowd(others), log.NewNopLogger())
}

func TestQuestionsOfNodesThatHaveNeverHadACopyDoNotGrowWithTheFleet(t *testing.T) {
	few, many := questions(t, 10, 4*time.Second, newNode), questions(t, 80, 4*time.Second, newNode)
	qt.Check(t, few <= 2*10+2*80, qt.IsTrue, qt.Commentf("%d", few))
	qt.Check(t, many <= 2*80+2*80, qt.IsTrue, qt.Commentf("%d", many))
	qt.Check(t, many > 2*80+10, qt.IsTrue, qt.Commentf("%d; somebody goes on asking, or nobody would notice that the store is back", many))
}

func TestNodeThatHearsNoOtherAndHasNeverHadACopyAsksAgainAtOnce(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newNode(store, 0)
	go func() { _ = f.Run(ctx) }()
	for store.asked.Load() < 6 {
		time.Sleep(10 * time.Millisecond)
	}
}

// A node that is no relay and is told what there is has no need to know whether the store answers it.
func TestReporterThatIsToldAgainDoesNotAskAStoreThatIsBack(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := currentFollower(store, 1000)
	f.Relaying = func() bool { return false }
	f.draw = 0
	go func() { _ = f.Run(ctx) }()
	for store.asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	asked := store.asked.Load()
	store.up.Store(true)
	for end := time.Now().Add(2 * backWithin); time.Now().Before(end); {
		f.Heard(told(time.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, store.asked.Load(), qt.Equals, asked)
}

// While a leader is replaced a relay watches, and the others need not.
func TestReporterLeavesWatchingToRelays(t *testing.T) {
	store := &downStore{}
	store.up.Store(true)
	f := currentFollower(store, 3)
	f.Relaying = func() bool { return false }
	f.proof = newProof("")
	f.proof.fromPeer(time.Now().Add(-patience - time.Second))
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f.Relaying = func() bool { return true }
	qt.Check(t, f.shouldWatch(false), qt.IsTrue)
}

// One that has begun to watch goes on until another does, and does not list everything anew each time its proof ages.
func TestWatcherGoesOnUntilAnotherWatches(t *testing.T) {
	others := crowd(1)(time.Time{})
	f := NewFollower(&downStore{}, emptyCopies{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return others }, log.NewNopLogger())
	f.proof = newProof("")
	f.proof.fromStore("", time.Now())
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
	others = []*gossip.Peer{told(time.Now())}
	others[0].LeaderEpoch = 7
	qt.Check(t, f.shouldWatch(true), qt.IsFalse)
	others[0].Watching = false // as told by a roster
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
	others = append(others, &gossip.Peer{Status: gossip.Status{ProofAt: time.Now()}, Upstream: true})
	qt.Check(t, f.shouldWatch(true), qt.IsFalse, qt.Commentf("its relay is current"))
}

// One that has left watching to another begins anew when it has not been told for a while, not when that one's proof is a little
// older than usual.
func TestWatchingThatWasLeftToAnotherIsNotBegunAnewForALittleAge(t *testing.T) {
	leader := told(time.Now().Add(-patience - 100*time.Millisecond))
	leader.LeaderEpoch = 7
	f := NewFollower(&downStore{}, emptyCopies{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return []*gossip.Peer{leader} }, log.NewNopLogger())
	f.proof = newProof("")
	f.proof.fromStore("", time.Now().Add(-500*time.Millisecond))
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f.proof = newProof("")
	f.proof.fromStore("", time.Now().Add(-patience-ranksPatience))
	qt.Check(t, f.shouldWatch(false), qt.IsTrue)
}

// An idle node hears of its relay twice a second, and the relay is current as of up to a second before that.
func TestReporterThatWatchesLeavesItToARelayThatIsCurrentEnoughForIt(t *testing.T) {
	leader := &gossip.Peer{Identity: gossip.Identity{VM: "leader"}, Status: gossip.Status{LeaderEpoch: 7}} // as told by a roster
	relay := &gossip.Peer{Identity: gossip.Identity{VM: "relay"}, Upstream: true}
	f := NewFollower(&downStore{}, emptyCopies{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return []*gossip.Peer{leader, relay} }, log.NewNopLogger())
	f.Relaying = func() bool { return false }
	f.proof = newProof("")
	f.proof.fromStore("", time.Now())
	relay.ProofAt = time.Now().Add(-patience - 400*time.Millisecond)
	qt.Check(t, f.shouldWatch(true), qt.IsFalse)
	relay.ProofAt = time.Now().Add(-reporterPatience)
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
}

// told returns a beat of another node whose copy, which is empty, is current as of then.
func told(at time.Time) *gossip.Peer {
	return &gossip.Peer{Identity: gossip.Identity{VM: "other", Incarnation: "1"}, Status: gossip.Status{Watching: true, ProofAt: at}}
}

// A relay that the store refuses while others are answered has to know when it is answered again; one prefix tells.
func TestRelayThatTheStoreRefusesAloneAsksForOnePrefixOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &downStore{}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		f := currentFollower(store, 2) // a turn comes each 0.2 s
		var g errgroup.Group
		g.Go(func() error { return f.Run(ctx) })
		g.Go(func() error {
			for ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond) // it has asked for everything once
				f.Heard(told(time.Now()))
			}
			return nil
		})
		qt.Assert(t, g.Wait(), qt.IsNil)
		configuration, endpoints := store.askedFor(keys.Accepted), store.askedFor(keys.Endpoints)
		qt.Check(t, configuration >= 3, qt.IsTrue, qt.Commentf("%d", configuration))
		qt.Check(t, endpoints <= 1, qt.IsTrue, qt.Commentf("%d: before others had told it that the store answers them", endpoints))
	})
}

// emptyCopies says that other nodes hold nothing.
type emptyCopies struct{}

func (emptyCopies) Pull(context.Context, string, string, uint64, bool) (uint64, []infra.Object, error) {
	return 0, nil, nil
}

func TestNodeThatIsToldAgainAsksTheStoreItselfOnce(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := currentFollower(store, 1000)
	go func() { _ = f.Run(ctx) }()
	for f.StoreAnswers() {
		time.Sleep(time.Millisecond)
	}
	for store.asked.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.up.Store(true)
	asked := store.asked.Load()
	for !f.StoreAnswers() { // long before its turn, which comes after 100 s on average
		f.Heard(told(time.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, store.asked.Load()-asked <= 2, qt.IsTrue, qt.Commentf("once for each prefix"))
}

func TestNodeThatTheStoreRefusesAloneAsksItSeldom(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f := currentFollower(store, 1000)
	go func() {
		for ctx.Err() == nil {
			f.Heard(told(time.Now()))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	qt.Assert(t, f.Run(ctx), qt.IsNil)
	qt.Check(t, store.asked.Load() <= 2*3, qt.IsTrue, qt.Commentf("%d", store.asked.Load()))
}
