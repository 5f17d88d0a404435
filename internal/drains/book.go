package drains

import (
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// Book reads the drains from the mirror.
type Book struct {
	view *mirror.View[Drains]
}

// NewBook returns a Book over the mirror.
func NewBook(m *mirror.Mirror) *Book { return &Book{mirror.NewView[Drains](m)} }

// Read returns the drains now.
func (b *Book) Read() Drains {
	if d, _, ok := b.view.Get(keys.Drains); ok {
		return *d
	}
	return Drains{}
}
