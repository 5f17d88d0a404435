// Package mirror keeps a node's copy of the watched objects of the platform's store.
package mirror

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/infra"
)

const shardCount = 16

// Mirror holds the newest version seen of each object, whoever told it. It never goes back.
//
// Each change has a sequence of this mirror. Changes are kept in order, so that what came after a sequence is found without
// looking at the rest: with 3,064 endpoints each look took a tenth of a millisecond, for each change and each node that
// fetches it.
type Mirror struct {
	shards [shardCount]shard

	mu       sync.Mutex
	sequence uint64
	changes  list.List // of *entry, in order of sequence
	routing  uint64    // the last change that nodes need which only route
	unmarked int       // changes of which it is not known yet who needs them
	changed  chan struct{}
}

type shard struct {
	mu      sync.RWMutex
	entries map[string]*entry
}

// entry is the newest version of one object. It is not changed once it is listed, but for its use and its place.
type entry struct {
	object   infra.Object
	sequence uint64
	place    *list.Element
	use      use
	routed   bool // it or an earlier version was needed for routing
}

// use says who needs an object.
type use uint8

const (
	unknown use = iota
	forRouting
	forForming
)

// New returns an empty Mirror.
func New() *Mirror {
	m := &Mirror{changed: make(chan struct{})}
	for i := range m.shards {
		m.shards[i].entries = make(map[string]*entry)
	}
	return m
}

func (m *Mirror) shard(key string) *shard {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

// Put stores the objects whose version is higher than the one held, and reports whether there were any. Those who wait for a
// change are told once.
func (m *Mirror) Put(objects ...infra.Object) bool {
	stored := false
	for _, o := range objects {
		stored = m.put(o) || stored
	}
	if stored {
		m.tell()
	}
	return stored
}

// tell wakes those who wait for a change.
func (m *Mirror) tell() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) put(o infra.Object) bool {
	s := m.shard(o.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[o.Key]
	if held != nil && held.object.Version >= o.Version {
		return false
	}
	s.entries[o.Key] = m.append(held, o)
	return true
}

// append lists a change in place of the one before it.
func (m *Mirror) append(held *entry, o infra.Object) *entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	e := &entry{object: o, sequence: m.sequence}
	m.unmarked++
	if held != nil {
		e.routed = held.routed
		m.changes.Remove(held.place)
		if held.use == unknown {
			m.unmarked--
		}
	}
	e.place = m.changes.PushBack(e)
	return e
}

// Forget drops objects without keeping that they were removed: whoever has the same versions may tell them again. It returns
// their keys.
func (m *Mirror) Forget(prefix string, where func(o infra.Object) bool) []string {
	var forgotten []string
	for _, o := range m.List(prefix) {
		if !where(o) {
			continue
		}
		s := m.shard(o.Key)
		s.mu.Lock()
		if held := s.entries[o.Key]; held != nil && held.object.Version == o.Version {
			s.entries[o.Key] = m.append(held, dropped(o))
			forgotten = append(forgotten, o.Key)
		}
		s.mu.Unlock()
	}
	if len(forgotten) > 0 {
		m.tell()
	}
	return forgotten
}

// dropped stands for an object that a node does not keep though it is there. Its version is older, so that a node that is to
// keep the object after all takes it from anyone who has it.
func dropped(o infra.Object) infra.Object {
	return infra.Object{Key: o.Key, Version: o.Version - 1, Deleted: true}
}

// Get returns the object under key unless it is absent or deleted.
func (m *Mirror) Get(key string) (infra.Object, bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[key]
	if e == nil || e.object.Deleted {
		return infra.Object{}, false
	}
	return e.object, true
}

// List returns the objects below prefix, in no order.
func (m *Mirror) List(prefix string) []infra.Object {
	var out []infra.Object
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			if !e.object.Deleted && strings.HasPrefix(e.object.Key, prefix) {
				out = append(out, e.object)
			}
		}
		s.mu.RUnlock()
	}
	return out
}

// Since returns the objects stored after that sequence, in order, deleted ones included, and the newest sequence.
func (m *Mirror) Since(sequence uint64) ([]infra.Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []infra.Object
	for e := m.after(sequence); e != nil; e = next(e) {
		out = append(out, e.object)
	}
	return out, m.sequence
}

// Page returns the first of the objects stored after that sequence, in order, up to some bytes of values but one object at
// least, and the sequence that they reach.
func (m *Mirror) Page(sequence uint64, bytes int) ([]infra.Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []infra.Object
	for e := m.after(sequence); e != nil; e = next(e) {
		if bytes -= len(e.object.Value); bytes < 0 && len(out) > 0 {
			return out, sequence
		}
		out = append(out, e.object)
		sequence = e.sequence
	}
	return out, m.sequence
}

// after returns the first entry stored after that sequence, or nil; the lock is held. What is asked for is mostly new.
func (m *Mirror) after(sequence uint64) *entry {
	var first *entry
	for at := m.changes.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry) //nolint:errcheck // nothing else is listed
		if e.sequence <= sequence {
			break
		}
		first = e
	}
	return first
}

// next returns the entry stored after e, or nil; the lock is held.
func next(e *entry) *entry {
	at := e.place.Next()
	if at == nil {
		return nil
	}
	return at.Value.(*entry) //nolint:errcheck // nothing else is listed
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
