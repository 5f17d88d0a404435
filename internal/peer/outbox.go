package peer

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/peer/peerpb"
	"moorrun.dev/moorrun/internal/replica"
)

// Outbox holds this node's latest observation of each domain, numbered so that each link can send those it
// has not sent yet.
type Outbox struct {
	mu       sync.Mutex
	sequence uint64
	entries  map[string]outboxEntry
	changed  chan struct{}
}

type outboxEntry struct {
	observation evidence.Observation
	vms         map[string]replica.VMView
	sequence    uint64
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{entries: make(map[string]outboxEntry), changed: make(chan struct{})}
}

// Put stores observation as the latest observation of its domain and wakes the waiting links.
func (o *Outbox) Put(observation evidence.Observation, vms map[string]replica.VMView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	o.entries[observation.Domain] = outboxEntry{observation, vms, o.sequence}
	close(o.changed)
	o.changed = make(chan struct{})
}

// Drop removes a domain that this node no longer observes.
func (o *Outbox) Drop(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.entries, domain)
}

// since returns the observations stored after sequence, the current sequence, and a channel that is closed at
// the next Put.
func (o *Outbox) since(sequence uint64, now time.Time) ([]*peerpb.DomainEvidence, uint64, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*peerpb.DomainEvidence
	for _, e := range o.entries {
		if e.sequence <= sequence {
			continue
		}
		wire := observationToWire(e.observation, now)
		for vm, v := range e.vms {
			wire.Vms = append(wire.Vms, ReportToWire(vm, v, now))
		}
		out = append(out, wire)
	}
	return out, o.sequence, o.changed
}
