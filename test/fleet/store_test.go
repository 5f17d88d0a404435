package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

const (
	// storeLatency is the duration of a store call.
	storeLatency = 4 * time.Millisecond
	// pageSize is the number of objects that the store returns in one call.
	pageSize = 500
	// recentLag is how late new objects appear in the lists that listRecent returns.
	recentLag = 800 * time.Millisecond
	// historyTTL is how long the store keeps changes for watches.
	historyTTL = 20 * time.Second
	// recentPrice is the price of one listRecent call, in regular calls.
	recentPrice = 0.1
	// refusalLatency is the duration of a store call that is refused.
	refusalLatency = 5 * time.Millisecond
)

var (
	errRefused = errors.New("status 503")
	errCut     = errors.New("connection cut")
)

// change is one change in the store's history.
type change struct {
	object infra.Object
	at     time.Time
}

// store simulates the platform's store and counts the calls of all nodes.
type store struct {
	mu              sync.Mutex
	revision        int64
	objects         map[string]infra.Object
	firstWritten    map[string]time.Time // time of the first write, by key
	history         []change
	droppedRevision int64 // revision up to which the history has been dropped
	changed         chan struct{}
	calls           map[string]float64 // in units of a regular call, by operation and kind of object
	down            bool
	watchesCut      chan struct{} // closed when the waiting watches are cut
}

func newStore() *store {
	return &store{
		objects: make(map[string]infra.Object), firstWritten: make(map[string]time.Time), changed: make(chan struct{}), calls: make(map[string]float64), watchesCut: make(chan struct{}),
	}
}

// write sets an object, or removes it if value is nil.
func (s *store) write(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(key, value)
}

func (s *store) writeLocked(key string, value any) int64 {
	s.revision++
	o := infra.Object{Key: key, Version: s.revision}
	if value == nil {
		o.Deleted = true
		delete(s.objects, key)
	} else {
		o.Value, _ = json.Marshal(value)
		s.objects[key] = o
		if s.firstWritten[key].IsZero() {
			s.firstWritten[key] = time.Now()
		}
	}
	s.history = append(s.history, change{o, time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTTL {
		s.droppedRevision = s.history[0].object.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// dropHistory makes every watch from an earlier revision fail with infra.ErrHistoryGone.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
}

// cutWatches ends all waiting watches with an error.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesCut)
	s.watchesCut = make(chan struct{})
}

// takeCalls returns the calls since it was last called, by operation and kind of object, and their sum.
func (s *store) takeCalls() (byKind map[string]float64, sum float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKind = s.calls
	s.calls = make(map[string]float64)
	for _, n := range byKind {
		sum += n
	}
	return byKind, sum
}

// storeClient is one node's access to the store.
type storeClient struct {
	*store
	cut *bool // this node is cut off from the store; guarded by store.mu
}

// call counts a call and waits for its duration. It fails if the store is down or the node is cut off from it.
func (c storeClient) call(ctx context.Context, operation, key string, price float64) error {
	c.mu.Lock()
	cut := c.down || *c.cut
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, "moorrun/"), "/")
	c.calls[operation+" "+kind] += price
	c.mu.Unlock()
	latency := storeLatency
	if cut {
		latency = refusalLatency
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
	}
	if cut {
		return errors.Join(infra.ErrUnavailable, errRefused)
	}
	return nil
}

// Get implements infra.ObjectStore.
func (c storeClient) Get(ctx context.Context, key string) (infra.Object, error) {
	if err := c.call(ctx, "get", key, 1); err != nil {
		return infra.Object{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.objects[key]
	if !ok {
		return infra.Object{}, infra.ErrNotFound
	}
	return o, nil
}

// List implements infra.ObjectStore.
func (c storeClient) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return c.list(ctx, prefix, "list", 1, 0)
}

// listRecent implements server.Platform.Recent: it is cheaper than List, but its result lacks the objects that were first
// written less than recentLag ago.
func (c storeClient) listRecent(ctx context.Context, prefix string) (infra.Listing, error) {
	return c.list(ctx, prefix, "recent", recentPrice, recentLag)
}

func (c storeClient) list(ctx context.Context, prefix, operation string, price float64, lag time.Duration) (infra.Listing, error) {
	if err := c.call(ctx, operation, prefix, price); err != nil {
		return infra.Listing{}, err
	}
	out := c.snapshot(prefix, lag)
	for range len(out.Objects) / pageSize { // one call for each further page
		if err := c.call(ctx, operation, prefix, price); err != nil {
			return out, err
		}
	}
	return out, nil
}

// snapshot returns the objects below prefix that were first written at least lag ago.
func (c storeClient) snapshot(prefix string, lag time.Duration) infra.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := infra.Listing{Version: c.revision}
	for key, o := range c.objects {
		if strings.HasPrefix(key, prefix) && time.Since(c.firstWritten[key]) >= lag {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

// Put implements infra.ObjectStore.
func (c storeClient) Put(ctx context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	if err := c.call(ctx, "put", key, 1); err != nil {
		return infra.Unknown, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects[key].Version != ifVersion {
		return infra.NotApplied, 0, nil
	}
	return infra.Applied, c.writeLocked(key, value), nil
}

// Delete implements infra.ObjectStore.
func (c storeClient) Delete(ctx context.Context, key string, ifVersion int64) (infra.Outcome, error) {
	if err := c.call(ctx, "delete", key, 1); err != nil {
		return infra.Unknown, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objects[key].Version != ifVersion {
		return infra.NotApplied, nil
	}
	c.writeLocked(key, nil)
	return infra.Applied, nil
}

// Watch implements infra.ObjectStore.
func (c storeClient) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (infra.Listing, error) {
	if err := c.call(ctx, "watch", prefix, 1); err != nil {
		return infra.Listing{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c.mu.Lock()
	watchesCut := c.watchesCut
	c.mu.Unlock()
	for {
		l, changed, err := c.changesSince(prefix, after)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-waitCtx.Done():
			return l, ctx.Err()
		case <-watchesCut:
			return infra.Listing{}, errors.Join(infra.ErrUnavailable, errCut)
		case <-changed:
		}
	}
}

// changesSince returns the changes below prefix after that revision, and a channel that is closed at the next change.
func (c storeClient) changesSince(prefix string, after int64) (infra.Listing, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.droppedRevision {
		return infra.Listing{}, nil, infra.ErrHistoryGone
	}
	out := infra.Listing{Version: c.revision}
	for i := len(c.history) - 1; i >= 0 && c.history[i].object.Version > after; i-- {
		if strings.HasPrefix(c.history[i].object.Key, prefix) {
			out.Objects = append(out.Objects, c.history[i].object)
		}
	}
	return out, c.changed, nil
}
