package gossip

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/quarantine"
)

const (
	// recordsABeat is how many suspected requests are told in one beat at the most, some 3 KB.
	recordsABeat = 100
	// differsFor is how long another node may suspect other requests than this one before it is told of all that this one
	// does. Relays tell each other only what was found by them and by those that report to them, within some tenths of a
	// second; the rest is needed if two of them do not hear each other.
	differsFor = time.Second
	// repairPause is the least time between two tellings of all to the same node, each of which may be lost.
	repairPause = 500 * time.Millisecond
)

// exchangeState is how far this node and another one know each other's tables of suspected requests.
type exchangeState struct {
	taken    uint64    // sequence of the other's table up to which it has been taken in
	told     uint64    // sequence of this node's up to which the other has
	differs  time.Time // since when the tables have differed; zero if they do not
	repaired time.Time // the other was last told of all
}

// addQuarantine adds to a beat what its receiver has not yet taken in of the suspected requests. It is told again in each
// beat until the receiver says that it has.
func (n *Node) addQuarantine(c *contact, b *gossippb.Beat, now time.Time) {
	if n.Quarantine == nil {
		return
	}
	s := &c.exchange
	records, reached := n.Quarantine.Since(s.told, c.needs, recordsABeat)
	if s.repairs(now) {
		records = append(records, n.Quarantine.Suspected(recordsABeat)...)
	}
	for _, r := range records {
		b.Quarantine = append(b.Quarantine, recordToWire(r, now))
	}
	b.QuarantineTo, b.QuarantineSeen, b.QuarantineDigest = reached, s.taken, n.Quarantine.Digest()
}

// repairs reports whether the other node is to be told of all requests that are suspected here.
func (s *exchangeState) repairs(now time.Time) bool {
	if s.differs.IsZero() || now.Sub(s.differs) < differsFor || now.Sub(s.repaired) < repairPause {
		return false
	}
	s.repaired = now
	return true
}

// needs reports whether the other node has to be told of a change that this one has heard of from there. What this one has
// found goes to all. Relays hear from each other, and a node from the relay that it reports to.
func (c *contact) needs(from quarantine.Source) bool {
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

// takeQuarantine takes in what a beat tells of suspected requests, and reports whether one is held back now that was not.
// same says that the sender is the process that sent the beat before.
func (n *Node) takeQuarantine(c *contact, b *gossippb.Beat, same bool, asOf, now time.Time) bool {
	if n.Quarantine == nil {
		return false
	}
	s := &c.exchange
	if !same {
		*s = exchangeState{}
	}
	s.told = b.QuarantineSeen
	s.taken = max(s.taken, b.QuarantineTo)
	held := false
	if len(b.Quarantine) > 0 {
		records := make([]quarantine.Record, 0, len(b.Quarantine))
		for _, w := range b.Quarantine {
			records = append(records, recordFromWire(w, asOf))
		}
		held = n.Quarantine.Merge(records, quarantine.Source{VM: b.Vm, Relay: b.Relay}, asOf)
	}
	switch same := b.QuarantineDigest == n.Quarantine.Digest(); {
	case same:
		s.differs = time.Time{}
	case s.differs.IsZero():
		s.differs = now
	}
	return held
}

func recordToWire(r quarantine.Record, now time.Time) *gossippb.QuarantineRecord {
	s := &gossippb.QuarantineRecord{Fingerprint: uint64(r.Fingerprint), Answered: r.Answered, HoldMs: wholeMillis(r.Hold), AgeMs: wholeMillis(r.Age)}
	for _, e := range r.Endings {
		s.Endings = append(s.Endings, &gossippb.Ending{Life: e.Life, Domain: e.Domain, AgeMs: wholeMillis(max(0, now.Sub(e.At)))})
	}
	return s
}

func recordFromWire(s *gossippb.QuarantineRecord, asOf time.Time) quarantine.Record {
	r := quarantine.Record{Fingerprint: quarantine.Fingerprint(s.Fingerprint), Answered: s.Answered, Hold: millis(s.HoldMs), Age: millis(s.AgeMs)}
	for _, e := range s.Endings {
		r.Endings = append(r.Endings, quarantine.Ending{Life: e.Life, Domain: e.Domain, At: asOf.Add(-millis(e.AgeMs))})
	}
	return r
}

// wholeMillis leaves out what is less than a millisecond, so that a hold that is told to and fro never grows.
func wholeMillis(d time.Duration) uint32 { return uint32(d / time.Millisecond) } //nolint:gosec // a day at the most
