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

// unavailableStore fails all lists until up is set, and counts them.
type unavailableStore struct {
	infra.ObjectStore
	queries atomic.Int64
	up      atomic.Bool

	mu       sync.Mutex
	byPrefix map[string]int
}

// queriesFor returns the number of lists of a prefix.
func (d *unavailableStore) queriesFor(prefix string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byPrefix[prefix]
}

func (d *unavailableStore) List(_ context.Context, prefix string) (infra.Listing, error) {
	d.queries.Add(1)
	d.mu.Lock()
	if d.byPrefix == nil {
		d.byPrefix = make(map[string]int)
	}
	d.byPrefix[prefix]++
	d.mu.Unlock()
	if !d.up.Load() {
		return infra.Listing{}, errors.New("store unavailable")
	}
	return infra.Listing{Version: 1}, nil
}

func (d *unavailableStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) (infra.Listing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return infra.Listing{Version: 1}, ctx.Err()
}

// relayPeers returns n other relays without proofs.
func relayPeers(n int) func(time.Time) []*gossip.Peer {
	list := make([]*gossip.Peer, n)
	for i := range list {
		list[i] = &gossip.Peer{Status: gossip.Status{Relay: true}}
	}
	return func(time.Time) []*gossip.Peer { return list }
}

// followerWithOldCopy returns a Follower whose copy was last current a minute ago and that hears from the given
// number of other relays.
func followerWithOldCopy(store *unavailableStore, others int) *Follower {
	f := NewFollower(store, emptyPeers{}, "n", func() bool { return false }, relayPeers(others), log.NewNopLogger())
	f.proof.fromPeer(time.Now().Add(-time.Minute))
	return f
}

// countQueries returns the number of queries that the nodes of a fleet make to an unavailable store in the given time.
func countQueries(t *testing.T, nodes int, runs time.Duration, newFollower func(store *unavailableStore, others int) *Follower) int64 {
	t.Helper()
	store := &unavailableStore{}
	ctx, cancel := context.WithTimeout(context.Background(), runs)
	defer cancel()
	var g errgroup.Group
	for range nodes {
		f := newFollower(store, nodes-1)
		g.Go(func() error { return f.Run(ctx) })
	}
	qt.Assert(t, g.Wait(), qt.IsNil)
	return store.queries.Load()
}

func TestQueriesToAnUnavailableStoreDoNotGrowWithTheFleet(t *testing.T) {
	few, many := countQueries(t, 10, 4*time.Second, followerWithOldCopy), countQueries(t, 80, 4*time.Second, followerWithOldCopy)
	// Each node queries each of the two prefixes once at the start, and then all take turns: 20 queries a second.
	qt.Check(t, few <= 2*10+2*80, qt.IsTrue, qt.Commentf("%d queries", few))
	qt.Check(t, many <= 2*80+2*80, qt.IsTrue, qt.Commentf("%d queries", many))
}

func TestNodeThatTheStoreAnswersQueriesOtherPrefixesAtOnce(t *testing.T) {
	store := &unavailableStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := followerWithOldCopy(store, 1000)
	go func() { _ = f.Run(ctx) }()
	for store.queries.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.up.Store(true)
	f.proved("another/", time.Now().Add(time.Second)) // as if a query had just been answered
	f.mu.Lock()
	f.lastAnswer = time.Now().Add(time.Second)
	f.mu.Unlock()
	before := time.Now()
	for {
		if at, _ := f.CurrentAll(); at.After(before) {
			return // long before its query delay, which is 100 s on average
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// followerWithoutCopy returns a Follower that has never had a copy and hears from the given number of other relays.
func followerWithoutCopy(store *unavailableStore, others int) *Follower {
	return NewFollower(store, emptyPeers{}, "n", func() bool { return false }, relayPeers(others), log.NewNopLogger())
}

func TestQueriesOfNodesWithoutACopyDoNotGrowWithTheFleet(t *testing.T) {
	few, many := countQueries(t, 10, 4*time.Second, followerWithoutCopy), countQueries(t, 80, 4*time.Second, followerWithoutCopy)
	qt.Check(t, few <= 2*10+2*80, qt.IsTrue, qt.Commentf("%d queries", few))
	qt.Check(t, many <= 2*80+2*80, qt.IsTrue, qt.Commentf("%d queries", many))
	qt.Check(t, many > 2*80+10, qt.IsTrue, qt.Commentf("%d queries; some nodes must continue to query, or the store's recovery would go unnoticed", many))
}

func TestLoneNodeWithoutACopyRetriesWithoutWaitingForATurn(t *testing.T) {
	store := &unavailableStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := followerWithoutCopy(store, 0)
	go func() { _ = f.Run(ctx) }()
	for store.queries.Load() < 6 {
		time.Sleep(10 * time.Millisecond)
	}
}

// A node that is no relay and is kept current by others does not need to detect whether the store answers it.
func TestReporterThatPeersKeepCurrentDoesNotQueryARecoveredStore(t *testing.T) {
	store := &unavailableStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := followerWithOldCopy(store, 1000)
	f.Relaying = func() bool { return false }
	f.jitter = 0
	go func() { _ = f.Run(ctx) }()
	for store.queries.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	queriesBefore := store.queries.Load()
	store.up.Store(true)
	for end := time.Now().Add(2 * recoverySpread); time.Now().Before(end); {
		f.EnqueueBeat(watchingPeer(time.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, store.queries.Load(), qt.Equals, queriesBefore)
}

// While a leader is being replaced a relay watches the store, and the other nodes need not.
func TestReporterLeavesWatchingToRelays(t *testing.T) {
	store := &unavailableStore{}
	store.up.Store(true)
	f := followerWithOldCopy(store, 3)
	f.Relaying = func() bool { return false }
	f.proof = newProof("")
	f.proof.fromPeer(time.Now().Add(-relayMaxProofAge - time.Second))
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f.Relaying = func() bool { return true }
	qt.Check(t, f.shouldWatch(false), qt.IsTrue)
}

// A node that watches continues until another node does, and does not list everything again each time its proof is too old.
func TestWatcherContinuesUntilAnotherNodeWatches(t *testing.T) {
	others := relayPeers(1)(time.Time{})
	f := NewFollower(&unavailableStore{}, emptyPeers{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return others }, log.NewNopLogger())
	f.proof = newProof("")
	f.proof.fromStore("", time.Now())
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
	others = []*gossip.Peer{watchingPeer(time.Now())}
	others[0].LeaderEpoch = 7
	qt.Check(t, f.shouldWatch(true), qt.IsFalse)
	others[0].Watching = false // as known from a roster, which does not contain Watching
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
	others = append(others, &gossip.Peer{Status: gossip.Status{ProofAt: time.Now()}, Upstream: true})
	qt.Check(t, f.shouldWatch(true), qt.IsFalse, qt.Commentf("the node's relay is current"))
}

// A node that has left watching to another resumes when it has had no new proof for some time, not when the other's proof is
// slightly older than usual.
func TestFormerWatcherDoesNotResumeForASlightlyOldProof(t *testing.T) {
	leader := watchingPeer(time.Now().Add(-relayMaxProofAge - 100*time.Millisecond))
	leader.LeaderEpoch = 7
	f := NewFollower(&unavailableStore{}, emptyPeers{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return []*gossip.Peer{leader} }, log.NewNopLogger())
	f.proof = newProof("")
	f.proof.fromStore("", time.Now().Add(-500*time.Millisecond))
	qt.Check(t, f.shouldWatch(false), qt.IsFalse)
	f.proof = newProof("")
	f.proof.fromStore("", time.Now().Add(-relayMaxProofAge-maxRankDelay))
	qt.Check(t, f.shouldWatch(false), qt.IsTrue)
}

// An idle node hears from its relay twice a second, and the relay's proof may then be up to a second old.
func TestWatchingReporterStopsWhenItsRelayIsCurrentEnough(t *testing.T) {
	leader := &gossip.Peer{Identity: gossip.Identity{VM: "leader"}, Status: gossip.Status{LeaderEpoch: 7}} // as known from a roster
	relay := &gossip.Peer{Identity: gossip.Identity{VM: "relay"}, Upstream: true}
	f := NewFollower(&unavailableStore{}, emptyPeers{}, "n", func() bool { return false }, func(time.Time) []*gossip.Peer { return []*gossip.Peer{leader, relay} }, log.NewNopLogger())
	f.Relaying = func() bool { return false }
	f.proof = newProof("")
	f.proof.fromStore("", time.Now())
	relay.ProofAt = time.Now().Add(-relayMaxProofAge - 400*time.Millisecond)
	qt.Check(t, f.shouldWatch(true), qt.IsFalse)
	relay.ProofAt = time.Now().Add(-reporterMaxProofAge)
	qt.Check(t, f.shouldWatch(true), qt.IsTrue)
}

// watchingPeer returns the heartbeat of a node that watches the store and whose copy, which is empty, is current as of at.
func watchingPeer(at time.Time) *gossip.Peer {
	return &gossip.Peer{Identity: gossip.Identity{VM: "other", Incarnation: "1"}, Status: gossip.Status{Watching: true, ProofAt: at}}
}

// A relay that the store refuses while it answers other nodes has to detect when it is answered again; querying one prefix is
// enough for that.
func TestRelayThatAloneIsRefusedByTheStoreQueriesOnePrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableStore{}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		f := followerWithOldCopy(store, 2) // the query delay is 0.2 s on average
		var g errgroup.Group
		g.Go(func() error { return f.Run(ctx) })
		g.Go(func() error {
			for ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond) // by then all prefixes have been queried once
				f.EnqueueBeat(watchingPeer(time.Now()))
			}
			return nil
		})
		qt.Assert(t, g.Wait(), qt.IsNil)
		configuration, endpoints := store.queriesFor(keys.Accepted), store.queriesFor(keys.Endpoints)
		qt.Check(t, configuration >= 3, qt.IsTrue, qt.Commentf("%d queries", configuration))
		qt.Check(t, endpoints <= 1, qt.IsTrue, qt.Commentf("%d queries; only before it received the first proof of a node that the store answers", endpoints))
	})
}

// emptyPeers answers pulls for other nodes whose copies are empty.
type emptyPeers struct{}

func (emptyPeers) Pull(context.Context, string, string, uint64, bool) (uint64, []infra.Object, error) {
	return 0, nil, nil
}

func TestNodeThatPeersKeepCurrentQueriesARecoveredStoreOnce(t *testing.T) {
	store := &unavailableStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := followerWithOldCopy(store, 1000)
	go func() { _ = f.Run(ctx) }()
	for f.StoreAnswers() {
		time.Sleep(time.Millisecond)
	}
	for store.queries.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.up.Store(true)
	queriesBefore := store.queries.Load()
	for !f.StoreAnswers() { // long before its query delay, which is 100 s on average
		f.EnqueueBeat(watchingPeer(time.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, store.queries.Load()-queriesBefore <= 2, qt.IsTrue, qt.Commentf("one query for each prefix"))
}

func TestNodeThatAloneIsRefusedByTheStoreQueriesItSeldom(t *testing.T) {
	store := &unavailableStore{}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f := followerWithOldCopy(store, 1000)
	go func() {
		for ctx.Err() == nil {
			f.EnqueueBeat(watchingPeer(time.Now()))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	qt.Assert(t, f.Run(ctx), qt.IsNil)
	qt.Check(t, store.queries.Load() <= 2*3, qt.IsTrue, qt.Commentf("%d queries", store.queries.Load()))
}
