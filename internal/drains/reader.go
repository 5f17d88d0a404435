package drains

import (
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// Reader reads the list of drained VMs and endpoints from the mirror.
type Reader struct {
	view *mirror.View[Drains]
}

// NewReader returns a Reader that reads from m.
func NewReader(m *mirror.Mirror) *Reader { return &Reader{mirror.NewView[Drains](m)} }

// Read returns the list as currently mirrored, empty if the object is missing.
func (r *Reader) Read() Drains {
	if d, _, ok := r.view.Get(keys.Drains); ok {
		return *d
	}
	return Drains{}
}
