package drains

import (
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// Book reads the list of drained VMs and endpoints from the mirror.
type Book struct {
	view *mirror.View[Drains]
}

// NewBook returns a Book that reads from m.
func NewBook(m *mirror.Mirror) *Book { return &Book{mirror.NewView[Drains](m)} }

// Read returns the list as currently mirrored, empty if the object is missing.
func (b *Book) Read() Drains {
	if d, _, ok := b.view.Get(keys.Drains); ok {
		return *d
	}
	return Drains{}
}
