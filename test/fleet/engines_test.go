package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/standin/network"
)

const (
	// domainSize is how many engine endpoints share a fabric.
	domainSize = 19
	// loadTime and openTime are how long an engine takes to join a group and to open one before traffic.
	loadTime = 1600 * time.Millisecond
	openTime = 300 * time.Millisecond
	// writesAfter is how soon an engine's entry tells a change.
	writesAfter = 100 * time.Millisecond
	// orderTakes is how long an order or a question to an engine takes.
	orderTakes = 4 * time.Millisecond
	engines    = "engines"
)

// membership is what an entry tells of an engine's group.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// model is a model that an entry tells.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// entry is what an endpoint writes of itself.
type entry struct {
	Service  string      `json:"service"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Version  string      `json:"version"`
	Slots    int         `json:"slots"`
	State    string      `json:"state"`
	Born     int64       `json:"born"`
	Domain   string      `json:"domain"`
	Staged   []string    `json:"staged"`
	Models   []model     `json:"models"`
	Group    *membership `json:"group"`
	Sequence int         `json:"sequence"`
}

// worker is one endpoint.
type worker struct {
	id    string
	entry entry
	seen  int64 // highest epoch
}

// estate is all endpoints.
type estate struct {
	store *store

	mu       sync.Mutex
	workers  map[string]*worker
	orders   int
	opened   time.Time // the first group
	openHead map[string]bool
}

func newEstate(s *store) *estate {
	return &estate{store: s, workers: make(map[string]*worker), openHead: make(map[string]bool)}
}

// start lets that many engines and some plain endpoints appear, spread over the beat of their entries.
func (e *estate) start(count int, beat time.Duration) {
	for i := range count {
		domain := i / domainSize
		e.add(fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), entry{
			Service: engines, Domain: fmt.Sprintf("d-%d", domain), Zone: zoneOf(domain % network.DataCentres),
		}, time.Duration(i*7919%1000)*beat/1000)
	}
	for i := range 8 {
		e.add(fmt.Sprintf("p-%08x", i), entry{Service: "plain", Zone: zoneOf(i % network.DataCentres)}, time.Duration(i)*beat/8)
	}
}

func (e *estate) add(id string, w entry, after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Address, w.Version, w.Slots, w.State = "10.99.0.1:"+fmt.Sprint(1000+len(e.workers)), "1.0.0", 14, "ready"
	w.Staged, w.Models = []string{}, []model{}
	e.workers[id] = &worker{id: id, entry: w}
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.workers[id].entry.Born = time.Now().UnixMilli()
		e.store.write(keys.Endpoints+id, e.workers[id].entry)
	})
}

// Probe implements formation.Engine.
func (e *estate) Probe(_ context.Context, _ *endpoint.Endpoint) formation.ProbeResult {
	time.Sleep(orderTakes)
	return formation.Answered
}

// Order implements formation.Engine.
func (e *estate) Order(_ context.Context, o formation.Order) formation.Outcome {
	time.Sleep(orderTakes)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	w := e.workers[endpoint.ListedID(o.Endpoint.ID)]
	group := w.entry.Group
	mine := group != nil && group.Name == o.Group && group.Epoch == o.Epoch
	switch o.Kind {
	case formation.Join:
		if o.Epoch < w.seen {
			return formation.Fenced
		}
		w.seen = o.Epoch
		rank := slices.IndexFunc(o.Members, func(id string) bool { return endpoint.ListedID(id) == w.id })
		w.entry.Group = &membership{o.Group, o.Epoch, rank, string(endpoint.Joining)}
		e.tell(w)
		time.AfterFunc(loadTime, func() {
			e.become(w, o, endpoint.Ready, func() { w.entry.Models, w.entry.Staged = []model{{Name: o.Model, Version: 1}}, []string{o.Model} })
		})
	case formation.Open:
		if !mine || group.State != string(endpoint.Ready) {
			return formation.Refused
		}
		time.AfterFunc(openTime, func() {
			e.become(w, o, endpoint.Open, func() {
				e.openHead[o.Group] = true
				if e.opened.IsZero() {
					e.opened = time.Now()
				}
			})
		})
	case formation.Leave:
		if mine {
			w.entry.Group, w.entry.Models = nil, []model{}
			delete(e.openHead, o.Group)
			e.tell(w)
		}
	case formation.Stage:
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			w.entry.Staged = []string{o.Model}
			e.tell(w)
		})
	}
	return formation.Accepted
}

// become carries an order out that took its time, unless another has come meanwhile.
func (e *estate) become(w *worker, o formation.Order, state endpoint.State, also func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := w.entry.Group; g == nil || g.Name != o.Group || g.Epoch != o.Epoch {
		return
	}
	changed := *w.entry.Group
	changed.State = string(state)
	w.entry.Group = &changed
	also()
	e.tell(w)
}

// tell writes a worker's entry soon; the lock is held.
func (e *estate) tell(w *worker) {
	w.entry.Sequence++
	now := w.entry
	time.AfterFunc(writesAfter, func() { e.store.write(keys.Endpoints+w.id, now) })
}

// open returns how many groups serve and since when the first one does.
func (e *estate) open() (groups, orders int, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openHead), e.orders, e.opened
}
