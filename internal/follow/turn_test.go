package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/infra"
)

// downStore counts the questions that it does not answer while it is down.
type downStore struct {
	infra.ObjectStore
	asked atomic.Int64
	up    atomic.Bool
}

func (d *downStore) List(context.Context, string) (infra.Listing, error) {
	d.asked.Add(1)
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

// crowd returns that many other nodes, which know nothing.
func crowd(n int) func(time.Time) []*gossip.Peer {
	list := make([]*gossip.Peer, n)
	for i := range list {
		list[i] = &gossip.Peer{}
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
func questions(t *testing.T, nodes int, runs time.Duration) int64 {
	t.Helper()
	store := &downStore{}
	ctx, cancel := context.WithTimeout(context.Background(), runs)
	defer cancel()
	var g errgroup.Group
	for range nodes {
		f := currentFollower(store, nodes-1)
		g.Go(func() error { return f.Run(ctx) })
	}
	qt.Assert(t, g.Wait(), qt.IsNil)
	return store.asked.Load()
}

func TestQuestionsToAStoreThatIsDownDoNotGrowWithTheFleet(t *testing.T) {
	few, many := questions(t, 10, 4*time.Second), questions(t, 80, 4*time.Second)
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

func TestNodeThatHasNeverHadACopyDoesNotWaitForItsTurn(t *testing.T) {
	store := &downStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := NewFollower(store, emptyCopies{}, "n", func() bool { return false }, crowd(1000), log.NewNopLogger())
	go func() { _ = f.Run(ctx) }()
	for store.asked.Load() < 6 {
		time.Sleep(10 * time.Millisecond)
	}
}

// told returns a beat of another node whose copy, which is empty, is current as of then.
func told(at time.Time) *gossip.Peer {
	return &gossip.Peer{Identity: gossip.Identity{VM: "other", Incarnation: "1"}, Status: gossip.Status{Watching: true, ProofAt: at}}
}

// emptyCopies says that other nodes hold nothing.
type emptyCopies struct{}

func (emptyCopies) Pull(context.Context, string, string, uint64) (uint64, []infra.Object, error) {
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
