package holder

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
)

// deletingStore records the deleted keys.
type deletingStore struct {
	infra.ObjectStore
	deleted []string
}

// Delete implements infra.ObjectStore.
func (s *deletingStore) Delete(_ context.Context, key string, _ int64) (infra.Outcome, error) {
	s.deleted = append(s.deleted, key)
	return infra.Applied, nil
}

func TestPrunerRemovesOnlySilentRegistrations(t *testing.T) {
	start := time.Unix(1000, 0)
	m := mirror.New()
	members := membership.NewTable(membership.Member{VM: "self", Incarnation: "1", Heard: start})
	register := func(vm string, version int64) {
		raw, err := json.Marshal(membership.Member{VM: vm, DataCentre: "dc", Incarnation: "1"})
		qt.Assert(t, err, qt.IsNil)
		m.Put(infra.Object{Key: keys.Node("dc", vm), Version: version, Value: raw})
	}
	register("dead", 1)
	register("alive", 2)
	register("replaced", 3)
	store := &deletingStore{}
	p := &Pruner{Objects: store, Mirror: m, Members: members, Logger: log.NewNopLogger(), silentSince: map[string]time.Time{}}
	for i := range 20 {
		now := start.Add(time.Duration(i) * pruneInterval)
		members.Put(membership.Member{VM: "alive", Incarnation: "1", Heard: now})
		members.Put(membership.Member{VM: "replaced", Incarnation: "2", Heard: now})
		p.prune(context.Background(), now)
		if now.Sub(start) < pruneAfter {
			qt.Assert(t, store.deleted, qt.HasLen, 0)
		}
	}
	qt.Check(t, store.deleted, qt.Contains, keys.Node("dc", "dead"))
	qt.Check(t, store.deleted, qt.Contains, keys.Node("dc", "replaced"))
	qt.Check(t, store.deleted, qt.Not(qt.Contains), keys.Node("dc", "alive"))
}
