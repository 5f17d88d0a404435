// Package domains reads the fabric domains' assignments from the mirror.
package domains

import (
	"encoding/json"
	"sync"

	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/platform"
	"moorrun.dev/moorrun/internal/replica"
)

// Book decodes assignments once for each version of their object.
type Book struct {
	mirror *mirror.Mirror

	mu    sync.Mutex
	pages map[string]page
}

type page struct {
	version    int64
	assignment *replica.Assignment
}

// NewBook returns a Book over the mirror.
func NewBook(m *mirror.Mirror) *Book {
	return &Book{mirror: m, pages: make(map[string]page)}
}

// Get returns the assignment of a domain with its object version; it must not be changed.
func (b *Book) Get(domain string) (*replica.Assignment, int64, bool) {
	o, ok := b.mirror.Get(keys.Domain(domain))
	if !ok {
		return nil, 0, false
	}
	return b.decode(o)
}

// All returns every domain's assignment; they must not be changed.
func (b *Book) All() []*replica.Assignment {
	var out []*replica.Assignment
	for _, o := range b.mirror.List(keys.Domains) {
		if a, _, ok := b.decode(o); ok {
			out = append(out, a)
		}
	}
	return out
}

func (b *Book) decode(o platform.Object) (*replica.Assignment, int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.pages[o.Key]; ok && p.version == o.Version {
		return p.assignment, p.version, true
	}
	a := &replica.Assignment{}
	if err := json.Unmarshal(o.Value, a); err != nil {
		return nil, 0, false
	}
	b.pages[o.Key] = page{o.Version, a}
	return a, o.Version, true
}
