package mirror

import (
	"encoding/json"
	"sync"

	"moorrun.dev/moorrun/internal/infra"
)

// View decodes objects of one type from JSON, each version once. The values that it returns must not be modified.
type View[T any] struct {
	mirror *Mirror

	mu    sync.Mutex
	cache map[string]cached[T]
}

type cached[T any] struct {
	version int64
	value   *T
}

// NewView returns a View of the mirror m.
func NewView[T any](m *Mirror) *View[T] {
	return &View[T]{mirror: m, cache: make(map[string]cached[T])}
}

// Get returns the value under key with its object's version, or false if it is absent or cannot be decoded as a T.
func (v *View[T]) Get(key string) (*T, int64, bool) {
	o, ok := v.mirror.Get(key)
	if !ok {
		return nil, 0, false
	}
	return v.decode(o)
}

// All returns all values below prefix that can be decoded as a T, in no particular order.
func (v *View[T]) All(prefix string) []*T {
	objects := v.mirror.List(prefix)
	out := make([]*T, 0, len(objects))
	for _, o := range objects {
		if value, _, ok := v.decode(o); ok {
			out = append(out, value)
		}
	}
	return out
}

func (v *View[T]) decode(o infra.Object) (*T, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.cache[o.Key]; ok && p.version == o.Version {
		return p.value, p.version, true
	}
	value := new(T)
	if err := json.Unmarshal(o.Value, value); err != nil {
		return nil, 0, false
	}
	v.cache[o.Key] = cached[T]{o.Version, value}
	return value, o.Version, true
}
