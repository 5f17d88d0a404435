package endpoint

import (
	"sync"
	"sync/atomic"
	"time"
)

// goneFor is how long an endpoint that is no longer listed is remembered.
const goneFor = 30 * time.Second

// Directory is this node's copy of the platform's list of endpoints.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&Snapshot{
		Endpoints: map[string]*Endpoint{}, Services: map[string][]*Endpoint{}, Groups: map[string]*Group{}, Gone: map[string]Gone{},
	})
	return d
}

// Read returns the present state.
func (d *Directory) Read() *Snapshot { return d.current.Load() }

// Apply takes in changed and removed endpoints, noticed at now.
func (d *Directory) Apply(changed []*Endpoint, removed []string, now time.Time) {
	if len(changed) == 0 && len(removed) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	next := &Snapshot{
		Endpoints: make(map[string]*Endpoint, len(old.Endpoints)+len(changed)),
		Services:  make(map[string][]*Endpoint, len(old.Services)),
		Gone:      make(map[string]Gone, len(old.Gone)+len(removed)),
	}
	for id, g := range old.Gone {
		if now.Sub(g.At) < goneFor {
			next.Gone[id] = g
		}
	}
	for id, e := range old.Endpoints {
		next.Endpoints[id] = e
	}
	for _, e := range changed {
		e.recall(old)
		next.Endpoints[e.ID] = e
		delete(next.Gone, e.ID)
	}
	for _, id := range removed {
		if e, ok := next.Endpoints[id]; ok {
			next.Gone[id] = Gone{e, now}
			delete(next.Endpoints, id)
		}
	}
	for _, e := range next.Endpoints {
		next.Services[e.Service] = append(next.Services[e.Service], e)
	}
	next.Groups = groupsOf(next.Endpoints)
	d.current.Store(next)
}
