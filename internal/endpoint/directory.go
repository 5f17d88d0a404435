package endpoint

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// goneRetention is how long an endpoint that is no longer listed is kept in Snapshot.Gone.
	goneRetention = 30 * time.Second
	// leavingRetention is how long an endpoint's announcement that it leaves is kept. The endpoint ends long before that.
	leavingRetention = 10 * time.Minute
)

// Directory is this node's copy of the platform's list of endpoints.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	leaving map[string]time.Time // when an instance announced that it leaves, by instance ID
	// disputed holds, by listed ID, entries that do not count yet.
	disputed map[string]dispute
}

// NewDirectory returns an empty Directory. heartbeat is the interval at which endpoints rewrite their entries.
func NewDirectory(heartbeat time.Duration) *Directory {
	d := &Directory{leaving: make(map[string]time.Time), disputed: make(map[string]dispute)}
	d.current.Store(&Snapshot{
		Endpoints: map[string]*Endpoint{}, Services: map[string][]*Endpoint{}, Groups: map[string]*Group{}, Gone: map[string]Gone{},
		Returned: map[string]time.Time{}, heartbeat: heartbeat,
	})
	return d
}

// Read returns the current snapshot.
func (d *Directory) Read() *Snapshot { return d.current.Load() }

// Apply adds or replaces the changed endpoints and removes those with the given listed IDs; now is the time of the change. A
// restarted endpoint replaces its earlier instance. An entry that does not name a later start than that of the endpoint known under its
// ID proves no restart.
func (d *Directory) Apply(changed []*Endpoint, removed []string, now time.Time) {
	if len(changed) == 0 && len(removed) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed = d.withoutDisputed(changed, now)
	for _, listed := range removed {
		delete(d.disputed, listed)
	}
	d.apply(changed, removed, now)
}

// apply makes the changes of Apply, whatever the starts of the endpoints. The caller holds d.mu.
func (d *Directory) apply(changed []*Endpoint, removed []string, now time.Time) {
	old := d.current.Load()
	next := &Snapshot{
		Endpoints: make(map[string]*Endpoint, len(old.Endpoints)+len(changed)),
		Services:  make(map[string][]*Endpoint, len(old.Services)),
		Gone:      make(map[string]Gone, len(old.Gone)+len(removed)),
		Evacuated: old.Evacuated, Returned: old.Returned, RoutingOnly: old.RoutingOnly, heartbeat: old.heartbeat,
	}
	for id, g := range old.Gone {
		if now.Sub(g.At) < goneRetention {
			next.Gone[id] = g
		}
	}
	byListedID := make(map[string]*Endpoint, len(old.Endpoints)) // by listed ID
	for id, e := range old.Endpoints {
		next.Endpoints[id] = e
		byListedID[ListedID(id)] = e
	}
	for _, e := range changed {
		if before := byListedID[ListedID(e.ID)]; before != nil && before.ID != e.ID {
			next.Gone[before.ID] = Gone{Endpoint: before, At: now, Restarted: startOf(before.ID) > 0 && startOf(e.ID) > startOf(before.ID)}
			delete(next.Endpoints, before.ID)
		}
		byListedID[ListedID(e.ID)] = e
		if _, leaving := d.leaving[e.ID]; leaving {
			e.Draining = true
		}
		e.keepModels(old)
		if e.ColdLeft > 0 {
			e.ColdUntil = now.Add(e.ColdLeft)
		}
		next.Endpoints[e.ID] = e
		delete(next.Gone, e.ID)
	}
	for _, listed := range removed {
		if e := byListedID[listed]; e != nil {
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

// MarkLeaving records that the instance has announced in an answer that it leaves, and marks it as draining. Its entry may show
// this later or not at all.
func (d *Directory) MarkLeaving(instance string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.leaving {
		if now.Sub(at) > leavingRetention {
			delete(d.leaving, id)
		}
	}
	if _, known := d.leaving[instance]; known {
		return
	}
	d.leaving[instance] = now
	if e := d.current.Load().Endpoints[instance]; e != nil && !e.Draining {
		draining := *e
		d.apply([]*Endpoint{&draining}, nil, now)
	}
}

// SetRoutingOnly sets Snapshot.RoutingOnly.
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

// Evacuate sets the data centres that are out of use from now on. Those that were out of use before and are not among them count
// as returned at now.
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

// IsLeaving reports whether the instance of an endpoint is draining, or is not listed any more.
func (d *Directory) IsLeaving(e *Endpoint) bool {
	listed := d.Read().Endpoints[e.ID]
	return listed == nil || listed.Draining
}

// Neighbours returns the other endpoints of e's fabric domain, or of its data centre if it is in none, that are not draining.
func (d *Directory) Neighbours(e *Endpoint) []*Endpoint {
	var out []*Endpoint
	for _, other := range d.Read().Endpoints {
		sharesDomain := other.Domain == e.Domain
		if e.Domain == "" {
			sharesDomain = other.DataCentre == e.DataCentre
		}
		if sharesDomain && other.ID != e.ID && !other.Draining {
			out = append(out, other)
		}
	}
	return out
}
