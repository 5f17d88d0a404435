package quarantine_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/quarantine"
)

// store holds one object and counts the calls.
type store struct {
	infra.ObjectStore // what is not used here panics

	mu     sync.Mutex
	object infra.Object
	alone  bool // the node that asks hears no other
	down   bool
	lose   bool // the next write is applied and not answered
	reads  int
	writes int
}

var errDown = errors.New("down")

func (s *store) Get(context.Context, string) (infra.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return infra.Object{}, errDown
	case s.object.Version == 0:
		return infra.Object{}, infra.ErrNotFound
	}
	return s.object, nil
}

func (s *store) recent(context.Context, string) (infra.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return infra.Listing{}, errDown
	}
	if s.object.Version == 0 {
		return infra.Listing{}, nil
	}
	return infra.Listing{Objects: []infra.Object{s.object}}, nil
}

func (s *store) Put(_ context.Context, key string, value any, ifVersion int64) (infra.Outcome, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return infra.Unknown, 0, errDown
	}
	if ifVersion != s.object.Version {
		return infra.NotApplied, 0, nil
	}
	content, err := json.Marshal(value)
	if err != nil {
		return infra.NotApplied, 0, err
	}
	s.object = infra.Object{Key: key, Version: s.object.Version + 1, Value: content}
	if s.lose {
		s.lose = false
		return infra.Unknown, 0, errDown
	}
	return infra.Applied, s.object.Version, nil
}

// life runs a keeper for some time, leading with that epoch or not at all.
func (s *store) life(table *quarantine.Table, epoch int64, d time.Duration, during ...func()) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := &quarantine.Keeper{
		Table: table, Objects: s, Recent: s.recent, Leads: func(time.Time) int64 { return epoch }, Alone: func(time.Time) bool { return s.alone }, Logger: log.NewNopLogger(),
	}
	go func() { _ = k.Run(ctx) }()
	for _, do := range during {
		do()
	}
	time.Sleep(d)
	cancel()
	synctest.Wait()
}

func TestHeldRequestsOutliveALossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		table := quarantine.NewTable()
		s.life(table, 1, 2*time.Second, func() { ended(table, 1, 3, deadly) })
		qt.Check(t, s.writes, qt.Equals, 1)
		after := quarantine.NewTable()
		s.life(after, 0, time.Second)
		qt.Check(t, isHeld(after, deadly), qt.IsTrue)
		qt.Check(t, s.writes, qt.Equals, 1, qt.Commentf("who does not lead writes nothing"))
	})
}

func TestNothingIsWrittenWhileNothingIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		table := quarantine.NewTable()
		s.life(table, 1, time.Minute, func() { ended(table, 1, 2, deadly) })
		qt.Check(t, s.writes, qt.Equals, 0)
		qt.Check(t, s.reads, qt.Equals, 2, qt.Commentf("once at the start, and once for the tenure"))
	})
}

func TestListIsKeptThoughTheStoreFailsAndLeadersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{down: true}
		first := quarantine.NewTable()
		s.life(first, 1, 5*time.Second, func() {
			ended(first, 1, 3, deadly)
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.down, s.lose = false, true
		})
		qt.Check(t, s.object.Version, qt.Equals, int64(1), qt.Commentf("a lost answer is found by reading"))
		second := quarantine.NewTable()
		s.life(second, 2, 2*time.Second, func() { ended(second, 5, 7, other) })
		records, err := quarantine.Records(s.object.Value, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, records, qt.HasLen, 2, qt.Commentf("a new leader adds to what an earlier one has left"))
	})
}

func TestListShrinksAsHoldsRunOutAndAForeignOneIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{object: infra.Object{Key: keys.Held, Version: 4, Value: []byte(`{"requests":"none"}`)}}
		table := quarantine.NewTable()
		s.life(table, 1, 2*time.Minute, func() { ended(table, 1, 3, deadly) })
		records, err := quarantine.Records(s.object.Value, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, records, qt.HasLen, 0)
		qt.Check(t, s.writes, qt.Equals, 2)
	})
}

// A node that is cut off from all others reaches endpoints still, and is sent the request.
func TestNodeThatHearsNoOtherGoesByTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		others, alone := quarantine.NewTable(), quarantine.NewTable()
		s.life(others, 1, time.Second, func() { ended(others, 1, 3, deadly) })
		s.alone = true
		s.life(alone, 0, 5*time.Second, func() { ended(alone, 5, 7, other) })
		qt.Check(t, isHeld(alone, deadly), qt.IsTrue)
		qt.Check(t, s.reads < 10, qt.IsTrue, qt.Commentf("%d reads", s.reads))
		records, err := quarantine.Records(s.object.Value, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, records, qt.HasLen, 2, qt.Commentf("the others learn what it has found"))
	})
}
