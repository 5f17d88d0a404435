// Package ratelimit keeps what endpoints say of the rate of requests that they take.
package ratelimit

import (
	"sync"
	"time"
)

// Limit is the rate that an endpoint has named.
type Limit struct {
	PerSecond float64 // requests from all nodes together
	Named     bool    // false: it takes as many as come
}

// Table keeps the limits of endpoints by their IDs.
type Table struct {
	// Changed is called when an endpoint names another limit than before, or none any more; it must not block. Nil if nobody
	// needs to be told.
	Changed func(endpoint string, l Limit)

	mu      sync.Mutex
	entries map[string]*entry
}

// entry is what is known of one endpoint.
type entry struct {
	limit Limit
	asOf  time.Time // the endpoint said so then
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Said takes in what an endpoint's answer says of its limit, for a request that was sent at sent. An answer to a request that
// was sent before the limit was named does not lift it.
func (t *Table) Said(endpoint string, l Limit, sent, now time.Time) {
	t.mu.Lock()
	e := t.entries[endpoint]
	if e == nil {
		if !l.Named {
			t.mu.Unlock()
			return
		}
		e = &entry{}
		t.entries[endpoint] = e
	}
	if !l.Named && sent.Before(e.asOf) {
		t.mu.Unlock()
		return
	}
	changed := e.limit != l
	e.limit, e.asOf = l, now
	t.mu.Unlock()
	if changed && t.Changed != nil {
		t.Changed(endpoint, l)
	}
}

// Limit returns the limit that an endpoint has named last.
func (t *Table) Limit(endpoint string) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[endpoint]; e != nil {
		return e.limit
	}
	return Limit{}
}

// Named returns how many endpoints name a limit.
func (t *Table) Named() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.limit.Named {
			n++
		}
	}
	return n
}

// keptFor is how long the limit of an endpoint is kept that says nothing more.
const keptFor = time.Minute

// Sweep forgets what has grown old.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if now.Sub(e.asOf) > keptFor {
			delete(t.entries, id)
		}
	}
}
