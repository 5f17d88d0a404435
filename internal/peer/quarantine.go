package peer

import (
	"time"

	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/quarantine/quarantinepb"
)

// maxRecordsPerMessage is the maximum number of records of requests under which engines have ended in one message, about 3 KB.
const maxRecordsPerMessage = 100

// recordsSince returns the records that changed after sequence, other than those that the other side has sent last, and the
// sequence that they reach.
func (f *Fleet) recordsSince(sequence uint64, otherSide string, now time.Time) ([]*quarantinepb.Record, uint64) {
	notFromThere := func(from quarantine.Source) bool { return from.VM != otherSide }
	records, reached := f.Quarantine.Since(sequence, notFromThere, maxRecordsPerMessage)
	var out []*quarantinepb.Record
	for i := range records {
		out = append(out, records[i].ToWire(now))
	}
	return out, reached
}

// mergeRecords adds received records, whose ages refer to asOf, to this node's table.
func (f *Fleet) mergeRecords(received []*quarantinepb.Record, from quarantine.Source, asOf time.Time) {
	if len(received) == 0 {
		return
	}
	records := make([]quarantine.Record, 0, len(received))
	for _, m := range received {
		records = append(records, quarantine.RecordFromWire(m, asOf))
	}
	f.Quarantine.Merge(records, from, asOf)
}
