// Package peer carries what moorrund processes tell each other: state objects, evidence, members
// and demand, over one long stream a pair and pooled calls.
package peer

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/peer/peerpb"
	"moorrun.dev/moorrun/internal/replica"
)

// Fleet is what a node knows and shares over its links.
type Fleet struct {
	Mirror  *mirror.Mirror
	Looks   *evidence.Table
	Reports *evidence.Reports
	Members *membership.Table
	Contact *Contact
	// Outgoing returns this node's own looks since a sequence, with the reports of the VMs looked at.
	Outgoing *Outbox
	// Heartbeat is the longest silence of a link's either side.
	Heartbeat time.Duration
}

// Contact remembers when the node last certainly heard the platform or another node.
type Contact struct {
	mu   sync.Mutex
	last time.Time
}

// Heard notes that the other side was alive at that instant.
func (c *Contact) Heard(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.last) {
		c.last = at
	}
}

// Last returns the latest such instant.
func (c *Contact) Last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Outbox holds the observer's latest look at each domain until every link has sent it.
type Outbox struct {
	mu       sync.Mutex
	sequence uint64
	entries  map[string]outboxEntry
	changed  chan struct{}
}

type outboxEntry struct {
	look     evidence.Look
	vms      map[string]replica.VMView
	sequence uint64
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{entries: make(map[string]outboxEntry), changed: make(chan struct{})}
}

// Put replaces the look at its domain.
func (o *Outbox) Put(look evidence.Look, vms map[string]replica.VMView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	o.entries[look.Domain] = outboxEntry{look, vms, o.sequence}
	close(o.changed)
	o.changed = make(chan struct{})
}

// Drop forgets a domain this node no longer observes.
func (o *Outbox) Drop(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.entries, domain)
}

func (o *Outbox) since(sequence uint64, now time.Time) ([]*peerpb.DomainEvidence, uint64, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*peerpb.DomainEvidence
	for _, e := range o.entries {
		if e.sequence <= sequence {
			continue
		}
		wire := lookToWire(e.look, now)
		for vm, v := range e.vms {
			wire.Vms = append(wire.Vms, ReportToWire(vm, v, now))
		}
		out = append(out, wire)
	}
	return out, o.sequence, o.changed
}
