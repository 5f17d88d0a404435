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
	kind        kind
	notRun      bool // the endpoint did not run the request
	releaseOnce sync.Once
}

// Release frees the place. Further calls have no effect.
func (p *Place) Release() { p.releaseOnce.Do(func() { p.picker.release(p) }) }

// RecordNotRun records that the endpoint did not run the request. The release of the place then tells nothing of the rate at which
// places become free.
func (p *Place) RecordNotRun() {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.notRun = true
}

// key returns the key of the place's health: the name of the replica group, or the ID of the standalone endpoint.
func (p *Place) key() string {
	if p.Group != "" {
		return p.Group
	}
	return p.Endpoint.ID
}
