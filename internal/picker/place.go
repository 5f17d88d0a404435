package picker

import (
	"sync"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Place is a request's place at an endpoint, until it is released.
type Place struct {
	Endpoint *endpoint.Endpoint
	Group    string // empty for an endpoint that serves alone
	Requests int    // that it had when it was chosen, as far as was known

	picker    *Picker
	workspace string
	model     string
	once      sync.Once
}

// Release gives the place back.
func (p *Place) Release() { p.once.Do(func() { p.picker.release(p) }) }

// key names what loads and health are counted by: the replica group, or the endpoint that serves alone.
func (p *Place) key() string {
	if p.Group != "" {
		return p.Group
	}
	return p.Endpoint.ID
}
