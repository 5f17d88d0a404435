// Package mirror keeps a node's copy of the watched objects of the platform's store.
package mirror

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/infra"
)

const shardCount = 16

// Mirror holds the newest version seen of each object, whoever told it. It never goes back.
type Mirror struct {
	shards [shardCount]shard

	mu       sync.Mutex
	sequence uint64
	changed  chan struct{}
}

type shard struct {
	mu      sync.RWMutex
	entries map[string]entry
}

type entry struct {
	object   infra.Object
	sequence uint64
}

// New returns an empty Mirror.
func New() *Mirror {
	m := &Mirror{changed: make(chan struct{})}
	for i := range m.shards {
		m.shards[i].entries = make(map[string]entry)
	}
	return m
}

func (m *Mirror) shard(key string) *shard {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

// Put stores the object when its version is higher than the one held, and reports whether it was.
func (m *Mirror) Put(o infra.Object) bool {
	s := m.shard(o.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, ok := s.entries[o.Key]; ok && held.object.Version >= o.Version {
		return false
	}
	m.mu.Lock()
	m.sequence++
	s.entries[o.Key] = entry{o, m.sequence}
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	return true
}

// Get returns the object under key unless it is absent or deleted.
func (m *Mirror) Get(key string) (infra.Object, bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[key]
	return e.object, ok && !e.object.Deleted
}

// List returns the objects below prefix, in no order.
func (m *Mirror) List(prefix string) []infra.Object {
	var out []infra.Object
	m.each(func(e entry) {
		if !e.object.Deleted && strings.HasPrefix(e.object.Key, prefix) {
			out = append(out, e.object)
		}
	})
	return out
}

// Since returns the objects stored after that sequence, deleted ones included, and the newest sequence.
func (m *Mirror) Since(sequence uint64) ([]infra.Object, uint64) {
	found, newest := m.after(sequence)
	var out []infra.Object
	for _, e := range found {
		out = append(out, e.object)
	}
	return out, newest
}

// Page returns the first of the objects stored after that sequence, in order, up to some bytes of values but one object at
// least, and the sequence that they reach.
func (m *Mirror) Page(sequence uint64, bytes int) ([]infra.Object, uint64) {
	found, newest := m.after(sequence)
	slices.SortFunc(found, func(a, b entry) int { return cmp.Compare(a.sequence, b.sequence) })
	var out []infra.Object
	for i, e := range found {
		if bytes -= len(e.object.Value); bytes < 0 && i > 0 {
			return out, found[i-1].sequence
		}
		out = append(out, e.object)
	}
	return out, newest
}

// after returns the entries stored after that sequence, in no order, and the newest sequence.
func (m *Mirror) after(sequence uint64) ([]entry, uint64) {
	newest := m.Sequence()
	if newest == sequence {
		return nil, newest
	}
	var found []entry
	m.each(func(e entry) {
		if e.sequence > sequence && e.sequence <= newest {
			found = append(found, e)
		}
	})
	return found, newest
}

func (m *Mirror) each(visit func(entry)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			visit(e)
		}
		s.mu.RUnlock()
	}
}

// Sequence returns the newest sequence.
func (m *Mirror) Sequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sequence
}

// Changed returns a channel that is closed at the next Put that stores something.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
