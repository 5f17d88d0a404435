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
	// storeAnswers is how long the store takes for a call.
	storeAnswers = 4 * time.Millisecond
	// pageObjects is how many objects the store gives in one call.
	pageObjects = 500
	// recentLag is how old the cheap lists are.
	recentLag = 800 * time.Millisecond
	// historyFor is how long the store remembers changes for watches.
	historyFor = 20 * time.Second
	// recentPrice is what a cheap list costs, in calls.
	recentPrice = 0.1
	// refusedFor is how long the store takes to refuse a call.
	refusedFor = 5 * time.Millisecond
)

var (
	errRefused = errors.New("status 503")
	errCut     = errors.New("connection cut")
)

// change is one step of the store's history.
type change struct {
	object infra.Object
	at     time.Time
}

// store is the platform's store, and counts the calls of all nodes.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]infra.Object
	written  map[string]time.Time // first, by key
	history  []change
	dropped  int64 // revision up to which the history is forgotten
	changed  chan struct{}
	calls    map[string]float64 // by what was asked, priced
	down     bool
	broken   chan struct{} // closed when the watches that wait are cut
}

func newStore() *store {
	return &store{
		objects: make(map[string]infra.Object), written: make(map[string]time.Time), changed: make(chan struct{}), calls: make(map[string]float64), broken: make(chan struct{}),
	}
}

// write sets or, with a nil value, removes an object.
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
		if s.written[key].IsZero() {
			s.written[key] = time.Now()
		}
	}
	s.history = append(s.history, change{o, time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyFor {
		s.dropped = s.history[0].object.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// forget drops the history.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
}

// cutWatches cuts the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// counted returns the calls since the last time, by what was asked, and their sum.
func (s *store) counted() (byKind map[string]float64, sum float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKind = s.calls
	s.calls = make(map[string]float64)
	for _, n := range byKind {
		sum += n
	}
	return byKind, sum
}

// handle is the store as one node reaches it.
type handle struct {
	*store
	cut *bool // this node does not reach it; guarded by the store's lock
}

// enter counts a call and waits for the answer's time.
func (h handle) enter(ctx context.Context, what, key string, price float64) error {
	h.mu.Lock()
	cut := h.down || *h.cut
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, "moorrun/"), "/")
	h.calls[what+" "+kind] += price
	h.mu.Unlock()
	wait := storeAnswers
	if cut {
		wait = refusedFor
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	if cut {
		return errors.Join(infra.ErrUnavailable, errRefused)
	}
	return nil
}

// Get implements infra.ObjectStore.
func (h handle) Get(ctx context.Context, key string) (infra.Object, error) {
	if err := h.enter(ctx, "get", key, 1); err != nil {
		return infra.Object{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.objects[key]
	if !ok {
		return infra.Object{}, infra.ErrNotFound
	}
	return o, nil
}

// List implements infra.ObjectStore.
func (h handle) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return h.list(ctx, prefix, "list", 1, 0)
}

// recent is the cheap list.
func (h handle) recent(ctx context.Context, prefix string) (infra.Listing, error) {
	return h.list(ctx, prefix, "recent", recentPrice, recentLag)
}

func (h handle) list(ctx context.Context, prefix, what string, price float64, lag time.Duration) (infra.Listing, error) {
	if err := h.enter(ctx, what, prefix, price); err != nil {
		return infra.Listing{}, err
	}
	out := h.below(prefix, lag)
	for range len(out.Objects) / pageObjects { // the further pages
		if err := h.enter(ctx, what, prefix, price); err != nil {
			return out, err
		}
	}
	return out, nil
}

// below returns the objects below prefix that were first written long enough ago.
func (h handle) below(prefix string, lag time.Duration) infra.Listing {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := infra.Listing{Version: h.revision}
	for key, o := range h.objects {
		if strings.HasPrefix(key, prefix) && time.Since(h.written[key]) >= lag {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

// Put implements infra.ObjectStore.
func (h handle) Put(ctx context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	if err := h.enter(ctx, "put", key, 1); err != nil {
		return infra.Unknown, 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.objects[key].Version != ifVersion {
		return infra.NotApplied, 0, nil
	}
	return infra.Applied, h.writeLocked(key, value), nil
}

// Delete implements infra.ObjectStore.
func (h handle) Delete(ctx context.Context, key string, ifVersion int64) (infra.Outcome, error) {
	if err := h.enter(ctx, "delete", key, 1); err != nil {
		return infra.Unknown, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.objects[key].Version != ifVersion {
		return infra.NotApplied, nil
	}
	h.writeLocked(key, nil)
	return infra.Applied, nil
}

// Watch implements infra.ObjectStore.
func (h handle) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (infra.Listing, error) {
	if err := h.enter(ctx, "watch", prefix, 1); err != nil {
		return infra.Listing{}, err
	}
	within, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	h.mu.Lock()
	broken := h.broken
	h.mu.Unlock()
	for {
		l, changed, err := h.since(prefix, after)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-within.Done():
			return l, ctx.Err()
		case <-broken:
			return infra.Listing{}, errors.Join(infra.ErrUnavailable, errCut)
		case <-changed:
		}
	}
}

// since returns the changes below prefix after that revision, and what is closed at the next change.
func (h handle) since(prefix string, after int64) (infra.Listing, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.dropped {
		return infra.Listing{}, nil, infra.ErrHistoryGone
	}
	out := infra.Listing{Version: h.revision}
	for i := len(h.history) - 1; i >= 0 && h.history[i].object.Version > after; i-- {
		if strings.HasPrefix(h.history[i].object.Key, prefix) {
			out.Objects = append(out.Objects, h.history[i].object)
		}
	}
	return out, h.changed, nil
}
