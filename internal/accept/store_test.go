package accept_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	_ "moorrun.dev/moorrun/internal/rapidseed"
)

// memoryStore is an object store in memory that simulates lost answers to writes. fault decides for each write
// whether its answer is lost, and whether the write takes effect all the same.
type memoryStore struct {
	infra.ObjectStore
	mu               sync.Mutex
	objects          map[string]infra.Object
	version          int64
	fault            func() int // 0: answered; 1: lost before the write takes effect; 2: lost after
	beforeHeadUpdate func()     // called once, before the next head update, to run a concurrent operation
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]infra.Object), fault: func() int { return 0 }}
}

// Get implements infra.ObjectStore.
func (m *memoryStore) Get(_ context.Context, key string) (infra.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return o, infra.ErrNotFound
	}
	return o, nil
}

// Put implements infra.ObjectStore.
func (m *memoryStore) Put(_ context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	if key == keys.Head && m.beforeHeadUpdate != nil {
		hook := m.beforeHeadUpdate
		m.beforeHeadUpdate = nil
		hook()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := m.fault()
	if fault == 1 {
		return infra.Unknown, 0, infra.ErrUnavailable
	}
	if m.objects[key].Version != ifVersion {
		if fault == 2 {
			return infra.Unknown, 0, infra.ErrUnavailable
		}
		return infra.NotApplied, 0, nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return infra.NotApplied, 0, err
	}
	m.version++
	m.objects[key] = infra.Object{Key: key, Version: m.version, Value: raw}
	if fault == 2 {
		return infra.Unknown, 0, infra.ErrUnavailable
	}
	return infra.Applied, m.version, nil
}

// Delete implements infra.ObjectStore.
func (m *memoryStore) Delete(_ context.Context, key string, ifVersion int64) (infra.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version == ifVersion {
		delete(m.objects, key)
	}
	return infra.Applied, nil
}

var pool = config.Scope{Pool: true}

func baseSet() config.Set {
	return config.Set{
		"pool":        {Pool: &config.Pool{Kind: config.KindPool, Operators: []config.Credential{{Name: "o", TokenSHA256: config.HashToken("o")}}, Shares: []config.Share{{Workspace: "a", Share: 1}, {Workspace: "b", Share: 1}}}},
		"workspace/a": workspace("a", 1),
		"workspace/b": workspace("b", 1),
	}
}

func workspace(name string, latency int) config.Part {
	service := config.Service{Name: "s", Endpoints: []config.Endpoint{{Name: name + "-1", Address: "10.0.0.1:80"}}}
	return config.Part{File: name + ".json", Workspace: &config.Workspace{
		Kind: config.KindWorkspace, Name: name, Services: []config.Service{service},
		Objectives: []config.Objective{{Service: "s", Availability: 0.9, LatencyMS: latency}},
	}}
}

func apply(t interface{ Fatalf(string, ...any) }, s *accept.Store, r accept.Request) accept.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	result, err := s.Apply(ctx, r)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return result
}

func TestConflictNamesWinningOperation(t *testing.T) {
	m := newMemoryStore()
	s := accept.NewStore(m)
	qt.Assert(t, apply(t, s, accept.Request{Operation: "first", Changes: baseSet(), Scope: pool}).Status, qt.Equals, accept.Accepted)
	m.beforeHeadUpdate = func() {
		r := apply(t, s, accept.Request{Operation: "winner", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 7)}, Scope: pool, By: "anna"})
		qt.Assert(t, r.Revision, qt.Equals, int64(2))
	}
	r := apply(t, s, accept.Request{Operation: "loser", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 8)}, Scope: pool})
	qt.Check(t, r.Status, qt.Equals, accept.Conflict)
	qt.Check(t, r.Winner, qt.Equals, "revision 2 by anna changed workspace/a (operation winner)")
	qt.Check(t, r.Changes[0].From, qt.Equals, "7")
	for key := range m.objects {
		qt.Check(t, key, qt.Not(qt.Contains), "loser", qt.Commentf("the parts of the refused request are deleted"))
	}
}

func TestConcurrentChangeOfAnotherPartIsNoConflict(t *testing.T) {
	m := newMemoryStore()
	s := accept.NewStore(m)
	apply(t, s, accept.Request{Operation: "first", Changes: baseSet(), Scope: pool})
	m.beforeHeadUpdate = func() {
		apply(t, s, accept.Request{Operation: "other", Base: 1, Changes: config.Set{"workspace/b": workspace("b", 7)}, Scope: pool})
	}
	r := apply(t, s, accept.Request{Operation: "mine", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 8)}, Scope: pool})
	qt.Check(t, r.Status, qt.Equals, accept.Accepted)
	qt.Check(t, r.Revision, qt.Equals, int64(3))
}

func TestReusedOperationIDWithOtherContentIsRefused(t *testing.T) {
	m := newMemoryStore()
	s := accept.NewStore(m)
	apply(t, s, accept.Request{Operation: "first", Changes: baseSet(), Scope: pool})
	m.objects[keys.Parts+"workspace.a/reused"] = infra.Object{Version: 99, Value: workspace("a", 3).Content()}
	_, err := s.Apply(context.Background(), accept.Request{Operation: "reused", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 4)}, Scope: pool})
	qt.Assert(t, err, qt.ErrorMatches, ".*take a new operation id")
}

// TestEachOperationIsAcceptedOnce applies operations while answers to writes are lost, before or after the writes
// take effect. Each operation must result in exactly one revision, revisions must only increase, and all parts that
// the head refers to must be readable.
func TestEachOperationIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryStore()
		s := accept.NewStore(m)
		apply(t, s, accept.Request{Operation: "first", Changes: baseSet(), Scope: pool})
		faults := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 12).Draw(t, "faults")
		m.fault = func() int {
			if len(faults) == 0 {
				return 0
			}
			f := faults[0] % 3
			faults = faults[1:]
			return f
		}
		revision := int64(1)
		for i := range rapid.IntRange(1, 5).Draw(t, "applies") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
			r := apply(t, s, accept.Request{Operation: fmt.Sprint("op", i), Base: revision, Scope: pool,
				Changes: config.Set{"workspace/" + name: workspace(name, 100+i)}})
			if r.Status != accept.Accepted || r.Revision != revision+1 {
				t.Fatalf("apply %d on revision %d: unexpected result %+v", i, revision, r)
			}
			revision = r.Revision
			repeated := apply(t, s, accept.Request{Operation: fmt.Sprint("op", i), Base: 0, Scope: pool, Changes: config.Set{}})
			if repeated.Revision != r.Revision {
				t.Fatalf("repeated operation %d: got revision %d, want %d", i, repeated.Revision, r.Revision)
			}
		}
		head, _, err := s.Head(context.Background())
		if err != nil || head.Revision != revision {
			t.Fatalf("unexpected head %+v, error %v", head, err)
		}
		if _, err := s.Set(context.Background(), head); err != nil {
			t.Fatalf("reading the parts of the head: %v", err)
		}
	})
}
