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

// memory is an object store whose write answers are lost, before or after they take effect, as fate says.
type memory struct {
	infra.ObjectStore
	mu      sync.Mutex
	objects map[string]infra.Object
	version int64
	fate    func() int // 0: answered, 1: lost before, 2: lost after
	onHead  func()     // called before each head update, to let another operator race
}

func newMemory() *memory {
	return &memory{objects: make(map[string]infra.Object), fate: func() int { return 0 }}
}

// Get implements infra.ObjectStore.
func (m *memory) Get(_ context.Context, key string) (infra.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return o, infra.ErrNotFound
	}
	return o, nil
}

// Put implements infra.ObjectStore.
func (m *memory) Put(_ context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	if key == keys.Head && m.onHead != nil {
		race := m.onHead
		m.onHead = nil
		race()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fate := m.fate()
	if fate == 1 {
		return infra.Unknown, 0, infra.ErrUnavailable
	}
	if m.objects[key].Version != ifVersion {
		if fate == 2 {
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
	if fate == 2 {
		return infra.Unknown, 0, infra.ErrUnavailable
	}
	return infra.Applied, m.version, nil
}

// Delete implements infra.ObjectStore.
func (m *memory) Delete(_ context.Context, key string, ifVersion int64) (infra.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version == ifVersion {
		delete(m.objects, key)
	}
	return infra.Applied, nil
}

var pool = config.Scope{Pool: true}

func base() config.Set {
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

func TestLoserOfARaceLearnsTheWinner(t *testing.T) {
	m := newMemory()
	s := accept.NewStore(m)
	qt.Assert(t, apply(t, s, accept.Request{Operation: "first", Changes: base(), Scope: pool}).Status, qt.Equals, accept.Accepted)
	m.onHead = func() {
		r := apply(t, s, accept.Request{Operation: "winner", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 7)}, Scope: pool, By: "anna"})
		qt.Assert(t, r.Revision, qt.Equals, int64(2))
	}
	r := apply(t, s, accept.Request{Operation: "loser", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 8)}, Scope: pool})
	qt.Check(t, r.Status, qt.Equals, accept.Conflict)
	qt.Check(t, r.Winner, qt.Equals, "revision 2 by anna changed workspace/a (operation winner)")
	qt.Check(t, r.Changes[0].From, qt.Equals, "7")
	for key := range m.objects {
		qt.Check(t, key, qt.Not(qt.Contains), "loser", qt.Commentf("the loser's parts are removed"))
	}
}

func TestRaceInAnotherPartIsNoConflict(t *testing.T) {
	m := newMemory()
	s := accept.NewStore(m)
	apply(t, s, accept.Request{Operation: "first", Changes: base(), Scope: pool})
	m.onHead = func() {
		apply(t, s, accept.Request{Operation: "other", Base: 1, Changes: config.Set{"workspace/b": workspace("b", 7)}, Scope: pool})
	}
	r := apply(t, s, accept.Request{Operation: "mine", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 8)}, Scope: pool})
	qt.Check(t, r.Status, qt.Equals, accept.Accepted)
	qt.Check(t, r.Revision, qt.Equals, int64(3))
}

func TestUsedOperationIDIsNotTakenForOtherContent(t *testing.T) {
	m := newMemory()
	s := accept.NewStore(m)
	apply(t, s, accept.Request{Operation: "first", Changes: base(), Scope: pool})
	m.objects[keys.Parts+"workspace.a/reused"] = infra.Object{Version: 99, Value: workspace("a", 3).Content()}
	_, err := s.Apply(context.Background(), accept.Request{Operation: "reused", Base: 1, Changes: config.Set{"workspace/a": workspace("a", 4)}, Scope: pool})
	qt.Assert(t, err, qt.ErrorMatches, ".*take a new operation id")
}

// TestEachOperationIsAcceptedOnce applies under lost answers; whatever was lost, every operation ends as one
// revision, revisions only grow, and the head's parts can all be read.
func TestEachOperationIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory()
		s := accept.NewStore(m)
		apply(t, s, accept.Request{Operation: "first", Changes: base(), Scope: pool})
		fates := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 12).Draw(t, "fates")
		m.fate = func() int {
			if len(fates) == 0 {
				return 0
			}
			f := fates[0] % 3
			fates = fates[1:]
			return f
		}
		revision := int64(1)
		for i := range rapid.IntRange(1, 5).Draw(t, "applies") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
			r := apply(t, s, accept.Request{Operation: fmt.Sprint("op", i), Base: revision, Scope: pool,
				Changes: config.Set{"workspace/" + name: workspace(name, 100+i)}})
			if r.Status != accept.Accepted || r.Revision != revision+1 {
				t.Fatalf("apply %d on revision %d: %+v", i, revision, r)
			}
			revision = r.Revision
			again := apply(t, s, accept.Request{Operation: fmt.Sprint("op", i), Base: 0, Scope: pool, Changes: config.Set{}})
			if again.Revision != r.Revision {
				t.Fatalf("sent again, operation %d is revision %d, not %d", i, again.Revision, r.Revision)
			}
		}
		head, _, err := s.Head(context.Background())
		if err != nil || head.Revision != revision {
			t.Fatalf("head %+v, %v", head, err)
		}
		if _, err := s.Set(context.Background(), head); err != nil {
			t.Fatalf("%v", err)
		}
	})
}
