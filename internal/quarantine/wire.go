package quarantine

import (
	"time"

	"moorrun.dev/moorrun/internal/quarantine/quarantinepb"
)

// ToWire returns the message for a record that is sent at now.
func (r *Record) ToWire(now time.Time) *quarantinepb.Record {
	out := &quarantinepb.Record{Fingerprint: uint64(r.Fingerprint), Part: r.Part, Answered: r.Answered, HoldMs: floorMillis(r.Hold), AgeMs: floorMillis(r.Age)}
	if !r.BegunAt.IsZero() {
		out.BegunMs = 1 + floorMillis(max(0, now.Sub(r.BegunAt)))
	}
	for _, e := range r.Endings {
		out.Endings = append(out.Endings, &quarantinepb.Ending{Life: e.InstanceHash, Domain: e.Domain, AgeMs: floorMillis(max(0, now.Sub(e.At)))})
	}
	return out
}

// RecordFromWire returns the record in a message whose ages refer to asOf.
func RecordFromWire(m *quarantinepb.Record, asOf time.Time) Record {
	r := Record{Fingerprint: Fingerprint(m.Fingerprint), Part: m.Part, Answered: m.Answered, Hold: fromMillis(m.HoldMs), Age: fromMillis(m.AgeMs)}
	if m.BegunMs > 0 {
		r.BegunAt = asOf.Add(-fromMillis(m.BegunMs))
	}
	for _, e := range m.Endings {
		r.Endings = append(r.Endings, Ending{InstanceHash: e.Life, Domain: e.Domain, At: asOf.Add(-fromMillis(e.AgeMs))})
	}
	return r
}

// floorMillis rounds down to whole milliseconds, so that a hold does not grow by being sent back and forth.
func floorMillis(d time.Duration) uint32 { return uint32(d / time.Millisecond) } //nolint:gosec // at most a day

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
