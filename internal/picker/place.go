package picker

import (
	"sync"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Place is the capacity reserved for one request at an endpoint until Release.
type Place struct {
	Endpoint *endpoint.Endpoint
	Group    string // empty for a standalone endpoint
	Requests int    // known running requests there at the time of the choice

	picker      *Picker
	workspace   string
	model       string
	releaseOnce sync.Once
}

// Release frees the place. Further calls have no effect.
func (p *Place) Release() { p.releaseOnce.Do(func() { p.picker.release(p) }) }

// Key returns the key of the place's health: the name of the replica group, or the ID of the standalone endpoint.
func (p *Place) Key() string {
	if p.Group != "" {
		return p.Group
	}
	return p.Endpoint.ID
}
