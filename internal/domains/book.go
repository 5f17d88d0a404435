// Package domains reads the fabric domains' assignments from the mirror.
package domains

import (
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/replica"
)

// Book gives the assignments; they must not be changed.
type Book struct {
	view *mirror.View[replica.Assignment]
}

// NewBook returns a Book over the mirror.
func NewBook(m *mirror.Mirror) *Book {
	return &Book{mirror.NewView[replica.Assignment](m)}
}

// Get returns the assignment of a domain with its object version.
func (b *Book) Get(domain string) (*replica.Assignment, int64, bool) {
	return b.view.Get(keys.Domain(domain))
}

// All returns every domain's assignment.
func (b *Book) All() []*replica.Assignment { return b.view.All(keys.Domains) }
