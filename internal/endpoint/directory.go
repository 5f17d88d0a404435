package endpoint

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// goneFor is how long an endpoint that is no longer listed is remembered.
	goneFor = 30 * time.Second
	// leavingFor is how long it is remembered that an endpoint has said it leaves; it is gone long before.
	leavingFor = 10 * time.Minute
)

// Directory is this node's copy of the platform's list of endpoints.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	leaving map[string]time.Time // lives that have said so themselves, and when
}

// NewDirectory returns an empty Directory of endpoints that write their entries that often.
func NewDirectory(beat time.Duration) *Directory {
	d := &Directory{leaving: make(map[string]time.Time)}
	d.current.Store(&Snapshot{
		Endpoints: map[string]*Endpoint{}, Services: map[string][]*Endpoint{}, Groups: map[string]*Group{}, Gone: map[string]Gone{},
		Returned: map[string]time.Time{}, beat: beat,
	})
	return d
}

// Read returns the present state.
func (d *Directory) Read() *Snapshot { return d.current.Load() }

// Apply takes in changed endpoints, and removed ones by the ids by which they were listed, noticed at now. An endpoint that
// has started again takes the place of its earlier life.
func (d *Directory) Apply(changed []*Endpoint, removed []string, now time.Time) {
	if len(changed) == 0 && len(removed) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(changed, removed, now)
}

// apply is Apply with the lock held.
func (d *Directory) apply(changed []*Endpoint, removed []string, now time.Time) {
	old := d.current.Load()
	next := &Snapshot{
		Endpoints: make(map[string]*Endpoint, len(old.Endpoints)+len(changed)),
		Services:  make(map[string][]*Endpoint, len(old.Services)),
		Gone:      make(map[string]Gone, len(old.Gone)+len(removed)),
		Evacuated: old.Evacuated, Returned: old.Returned, RoutingOnly: old.RoutingOnly, beat: old.beat,
	}
	for id, g := range old.Gone {
		if now.Sub(g.At) < goneFor {
			next.Gone[id] = g
		}
	}
	lives := make(map[string]*Endpoint, len(old.Endpoints)) // by listed id
	for id, e := range old.Endpoints {
		next.Endpoints[id] = e
		lives[Listed(id)] = e
	}
	for _, e := range changed {
		if before := lives[Listed(e.ID)]; before != nil && before.ID != e.ID {
			next.Gone[before.ID] = Gone{Endpoint: before, At: now, Over: true}
			delete(next.Endpoints, before.ID)
		}
		lives[Listed(e.ID)] = e
		if _, told := d.leaving[e.ID]; told {
			e.Draining = true
		}
		e.recall(old)
		if e.ColdLeft > 0 {
			e.Cold = now.Add(e.ColdLeft)
		}
		next.Endpoints[e.ID] = e
		delete(next.Gone, e.ID)
	}
	for _, listed := range removed {
		if e := lives[listed]; e != nil {
			next.Gone[e.ID] = Gone{Endpoint: e, At: now}
			delete(next.Endpoints, e.ID)
		}
	}
	for _, e := range next.Endpoints {
		next.Services[e.Service] = append(next.Services[e.Service], e)
	}
	next.Groups = groupsOf(next.Endpoints)
	d.current.Store(next)
}

// MarkLeaving notes that a life of an endpoint has said in an answer that it leaves. Its entry may tell so later, or not at all.
func (d *Directory) MarkLeaving(life string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.leaving {
		if now.Sub(at) > leavingFor {
			delete(d.leaving, id)
		}
	}
	if _, told := d.leaving[life]; told {
		return
	}
	d.leaving[life] = now
	if e := d.current.Load().Endpoints[life]; e != nil && !e.Draining {
		draining := *e
		d.apply([]*Endpoint{&draining}, nil, now)
	}
}

// SetRoutingOnly says whether only those endpoints are listed that take requests.
func (d *Directory) SetRoutingOnly(only bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().RoutingOnly == only {
		return
	}
	next := *d.current.Load()
	next.RoutingOnly = only
	d.current.Store(&next)
}

// Evacuate says which data centres are out of use from now on.
func (d *Directory) Evacuate(dataCentres map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	returned := maps.Clone(next.Returned)
	for name := range next.Evacuated {
		if !dataCentres[name] {
			returned[name] = now
		}
	}
	next.Evacuated, next.Returned = dataCentres, returned
	d.current.Store(&next)
}
