// Package domains reads the assignments of the fabric domains from this node's mirror of the platform's store.
package domains

import (
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/replica"
)

// Reader returns the stored assignments. Callers must not modify them.
type Reader struct {
	view *mirror.View[replica.Assignment]
}

// NewReader returns a Reader that reads from m.
func NewReader(m *mirror.Mirror) *Reader {
	return &Reader{mirror.NewView[replica.Assignment](m)}
}

// Get returns the assignment of a domain and the version of its object.
func (b *Reader) Get(domain string) (*replica.Assignment, int64, bool) {
	return b.view.Get(keys.Domain(domain))
}

// All returns the assignments of all domains.
func (b *Reader) All() []*replica.Assignment { return b.view.All(keys.Domains) }
