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

	picker    *Picker
	workspace string
	predicted prediction
	// unreadTokens is the length of the prompt until it is known to have been read or not to be read; then 0.
	unreadTokens float64
	model        string
	releaseOnce  sync.Once
}

// Release frees the place. Further calls have no effect.
func (p *Place) Release() { p.releaseOnce.Do(func() { p.picker.release(p) }) }

// key returns the key of the place's health: the name of the replica group, or the ID of the standalone endpoint.
func (p *Place) key() string {
	if p.Group != "" {
		return p.Group
	}
	return p.Endpoint.ID
}
