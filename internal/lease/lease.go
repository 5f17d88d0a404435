// Package lease decides who holds a lease kept as one object of the platform's store.
//
// Only durations on each process's own monotonic clock are compared: a holder counts from the instant
// before it sent the write, everyone else from the instant it first saw the version, plus a margin.
package lease

import "time"

// Lease is one process's view of one lease. It does no I/O and reads no clock.
type Lease struct {
	self   string
	ttl    time.Duration
	margin time.Duration

	version  int64
	record   Record
	seenAt   time.Time // first sight of version
	readAt   time.Time // last read or write that told the version
	known    bool
	untilBy  time.Time // held until, when epoch > 0
	epoch    int64     // the epoch we hold or held
	inflight map[string]time.Time
	doubted  int64 // the version whose holder has told that it holds it no more
}

// New returns the view of a process that has not read the object yet.
func New(self string, ttl, margin time.Duration) *Lease {
	return &Lease{self: self, ttl: ttl, margin: margin, inflight: make(map[string]time.Time)}
}

// Held returns the epoch and the instant the lease ends, while it is held at now.
func (l *Lease) Held(now time.Time) (epoch int64, until time.Time, ok bool) {
	if l.epoch == 0 || !now.Before(l.untilBy) {
		return 0, time.Time{}, false
	}
	return l.epoch, l.untilBy, true
}

// Next returns what is due at now. want says whether this process should hold the lease at all.
func (l *Lease) Next(now time.Time, want bool, operation string) (Action, Record, int64) {
	if !l.known || len(l.inflight) > 0 {
		return Read, Record{}, 0
	}
	_, until, held := l.Held(now)
	switch {
	case held && !want:
		return Write, Record{Epoch: l.epoch, Operation: operation, TTLMillis: 0}, l.version
	case held && until.Sub(now) < l.ttl*2/3:
		return Write, l.claim(l.epoch, operation), l.version
	case held:
		return Wait, Record{}, 0
	case want && l.free(now):
		return Write, l.claim(l.record.Epoch+1, operation), l.version
	case now.Sub(l.readAt) >= l.ttl/3:
		return Read, Record{}, 0
	default:
		return Wait, Record{}, 0
	}
}

func (l *Lease) claim(epoch int64, operation string) Record {
	return Record{Holder: l.self, Epoch: epoch, Operation: operation, TTLMillis: l.ttl.Milliseconds()}
}

// free reports whether the lease that was last seen has certainly run out.
func (l *Lease) free(now time.Time) bool {
	if l.version == 0 || l.record.Holder == "" {
		return true
	}
	ttl := time.Duration(l.record.TTLMillis) * time.Millisecond
	return now.Sub(l.seenAt) > ttl+l.margin
}

// Sending notes that record is about to be written at now. A release ends the tenure here and now:
// its answer may be lost after another has taken over.
func (l *Lease) Sending(record Record, now time.Time) {
	l.inflight[record.Operation] = now
	if record.Holder == "" {
		l.epoch = 0
	}
}

// Observed takes in the object as read, with the answer in at that instant; version 0 means absent.
// A write of ours whose answer was lost shows here by its operation.
func (l *Lease) Observed(version int64, record Record, at time.Time) {
	l.readAt = at
	l.known = true
	if version <= l.version && version != 0 {
		l.resolve(at)
		return
	}
	l.version = version
	l.record = record
	l.seenAt = at
	sent, ours := l.inflight[record.Operation]
	if ours && record.Holder == l.self {
		l.epoch = record.Epoch
		l.untilBy = sent.Add(time.Duration(record.TTLMillis) * time.Millisecond)
	} else {
		l.epoch = 0
	}
	clear(l.inflight)
}

// Told takes in that the holder itself has told another process of a version of the object, heard at that instant.
// Whoever contends for the lease after the holder's death then need not first read the object and wait out a term
// from there. A version that is not the latest does no harm: a write that is conditional on it is refused.
func (l *Lease) Told(version int64, record Record, at time.Time) {
	if version <= l.version || len(l.inflight) > 0 || record.Holder == l.self {
		return
	}
	l.version = version
	l.record = record
	l.seenAt = at
	l.readAt = at
	l.known = true
	l.epoch = 0
}

// HeldElsewhere reports whether the lease that was last seen is another process's, may not have run out, and has not been given up.
func (l *Lease) HeldElsewhere(now time.Time) bool {
	return l.known && l.record.Holder != l.self && l.doubted != l.version && !l.free(now)
}

// GivenUp takes in that a process has told another one that it does not hold the lease.
func (l *Lease) GivenUp(by string) {
	if l.record.Holder == by {
		l.doubted = l.version
	}
}

// Latest returns the version and record of the object as last seen.
func (l *Lease) Latest() (int64, Record) { return l.version, l.record }

// resolve forgets writes in flight that are older than any answer may be late; while they could still
// take effect the version shown by the object decides, because every write is conditional on it.
func (l *Lease) resolve(at time.Time) {
	for op, sent := range l.inflight {
		if at.Sub(sent) > l.ttl {
			delete(l.inflight, op)
		}
	}
}

// Applied notes that the write of operation took effect and gave the object that version.
func (l *Lease) Applied(version int64, record Record, at time.Time) {
	l.Observed(version, record, at)
}

// Refused notes that the write did not take effect; the object must be read again.
func (l *Lease) Refused(operation string) {
	delete(l.inflight, operation)
	l.known = false
}
