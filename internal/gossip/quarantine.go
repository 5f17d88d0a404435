package gossip

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	// maxRecordsPerBeat is the maximum number of records of suspected requests in one beat, about 3 KB.
	maxRecordsPerBeat = 100
	// resyncDelay is how long another node's table may differ from this node's before all suspected requests are sent to
	// it. Relays normally send each other only what they and the nodes reporting to them have found, which takes some tenths
	// of a second; the full resync is needed if two relays do not hear each other.
	resyncDelay = time.Second
	// minResyncInterval is the minimum time between two full resyncs to the same node. Each of them may be lost.
	minResyncInterval = 500 * time.Millisecond
)

// tableSync is how far this node and one contact have synchronized their tables of suspected requests.
type tableSync struct {
	received     uint64    // sequence number up to which the contact's table has been received
	acknowledged uint64    // sequence number up to which the contact has received this node's table
	differsSince time.Time // since when the tables have differed; zero if they are equal
	lastResync   time.Time // when all suspected requests were last sent to the contact
}

// addQuarantine adds to a beat the records of suspected requests that its receiver lacks. They are sent again with each
// beat until the receiver acknowledges them.
func (n *Node) addQuarantine(c *contact, b *gossippb.Beat, now time.Time) {
	if n.Quarantine == nil {
		return
	}
	s := &c.quarantine
	records, reached := n.Quarantine.Since(s.acknowledged, c.needsChangeFrom, maxRecordsPerBeat)
	if s.startResync(now) {
		records = append(records, n.Quarantine.Suspected(maxRecordsPerBeat)...)
	}
	for _, r := range records {
		b.Quarantine = append(b.Quarantine, r.ToWire(now))
	}
	b.QuarantineTo, b.QuarantineSeen, b.QuarantineDigest = reached, s.received, n.Quarantine.Digest()
}

// startResync reports whether all suspected requests are to be sent to the contact now, and if so records now as the time
// of the resync.
func (s *tableSync) startResync(now time.Time) bool {
	if s.differsSince.IsZero() || now.Sub(s.differsSince) < resyncDelay || now.Sub(s.lastResync) < minResyncInterval {
		return false
	}
	s.lastResync = now
	return true
}

// needsChangeFrom reports whether a change that this node has received from the given source has to be sent to the contact.
// This node's own findings go to all contacts. Otherwise relays receive changes from each other, and another node receives
// them from the relay that it reports to.
func (c *contact) needsChangeFrom(from quarantine.Source) bool {
	switch {
	case from.VM == "":
		return true
	case c.peer == nil:
		return false
	case from.VM == c.peer.VM:
		return false
	case c.peer.Relay:
		return !from.Relay
	default:
		return c.reports
	}
}

// mergeQuarantine merges a beat's records of suspected requests into this node's table and reports whether a request is
// held back as a result that was not before. sameProcess is set if the contact's previous beat came from the same
// incarnation.
func (n *Node) mergeQuarantine(c *contact, b *gossippb.Beat, sameProcess bool, asOf, now time.Time) bool {
	if n.Quarantine == nil {
		return false
	}
	s := &c.quarantine
	if !sameProcess {
		*s = tableSync{}
	}
	s.acknowledged = b.QuarantineSeen
	s.received = max(s.received, b.QuarantineTo)
	newlyHeld := false
	if len(b.Quarantine) > 0 {
		records := make([]quarantine.Record, 0, len(b.Quarantine))
		for _, w := range b.Quarantine {
			records = append(records, quarantine.RecordFromWire(w, asOf))
		}
		newlyHeld = n.Quarantine.Merge(records, quarantine.Source{VM: b.Vm, Relay: b.Relay}, asOf)
	}
	switch equal := b.QuarantineDigest == n.Quarantine.Digest(); {
	case equal:
		s.differsSince = time.Time{}
	case s.differsSince.IsZero():
		s.differsSince = now
	}
	return newlyHeld
}
