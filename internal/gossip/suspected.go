package gossip

import (
	"time"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/quarantine"
)

// suspectedABeat is how many suspected requests are told in one beat at the most, some 3 KB.
const suspectedABeat = 100

// addSuspected adds to a beat what its receiver has not yet taken in of the suspected requests. It is told again in each
// beat until the receiver says that it has.
func (n *Node) addSuspected(c *contact, b *gossippb.Beat) {
	if n.Quarantine == nil {
		return
	}
	vm := ""
	if c.peer != nil {
		vm = c.peer.VM
	}
	records, reached := n.Quarantine.Since(c.suspectedTold, vm, suspectedABeat)
	for _, r := range records {
		b.Suspected = append(b.Suspected, suspectedToWire(r))
	}
	b.SuspectedTo, b.SuspectedSeen = reached, c.suspectedTaken
}

// takeSuspected takes in what a beat tells of suspected requests, and reports whether one is held back now that was not.
// same says that the sender is the process that sent the beat before.
func (n *Node) takeSuspected(c *contact, b *gossippb.Beat, same bool, asOf time.Time) bool {
	if n.Quarantine == nil {
		return false
	}
	if !same {
		c.suspectedTaken = 0
	}
	c.suspectedTold = b.SuspectedSeen
	c.suspectedTaken = max(c.suspectedTaken, b.SuspectedTo)
	if len(b.Suspected) == 0 {
		return false
	}
	records := make([]quarantine.Record, 0, len(b.Suspected))
	for _, s := range b.Suspected {
		records = append(records, suspectedFromWire(s))
	}
	return n.Quarantine.Merge(records, b.Vm, asOf)
}

func suspectedToWire(r quarantine.Record) *gossippb.Suspected {
	s := &gossippb.Suspected{Fingerprint: uint64(r.Fingerprint), Answered: r.Answered, HoldMs: uint32(r.Hold / time.Millisecond)} //nolint:gosec // half an hour at the most
	for _, e := range r.Endings {
		s.Endings = append(s.Endings, uint32(e))
	}
	return s
}

func suspectedFromWire(s *gossippb.Suspected) quarantine.Record {
	r := quarantine.Record{Fingerprint: quarantine.Fingerprint(s.Fingerprint), Answered: s.Answered, Hold: millis(s.HoldMs)}
	for _, e := range s.Endings {
		r.Endings = append(r.Endings, quarantine.Ending(e))
	}
	return r
}
