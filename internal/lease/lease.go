// Package lease implements a lease that is stored as one object in the platform's store.
//
// Clocks of different processes are never compared, only durations on each process's own monotonic clock: the
// holder counts the time to live from the instant before it sent the write, every other process from the
// instant it first saw the object version, plus a margin.
package lease

import "time"

// Lease is one process's view of one lease. It does no I/O and reads no clock; the caller passes in the time.
type Lease struct {
	self   string
	ttl    time.Duration
	margin time.Duration

	version           int64
	record            Record
	versionSeenAt     time.Time            // when version was first seen
	refreshedAt       time.Time            // when a read, a write or the holder's report last confirmed version
	known             bool                 // false before the first read or report and after a refused write
	heldUntil         time.Time            // expiry of the lease held by this process; valid if epoch > 0
	epoch             int64                // epoch that this process holds or last held; 0 after a release or a loss to another
	inflight          map[string]time.Time // by operation ID: when an unanswered write was sent
	lowestEpoch       int64                // epochs up to this one may have been given out, although the object no longer shows it
	disclaimedVersion int64                // version whose holder has reported that it does not hold the lease
}

// New returns the view of the process self, which has not read the object yet. Leases of other processes count
// as expired after their time to live and margin.
func New(self string, ttl, margin time.Duration) *Lease {
	return &Lease{self: self, ttl: ttl, margin: margin, inflight: make(map[string]time.Time)}
}

// Held returns the epoch and the expiry time of the lease; ok is false unless this process holds it at now.
func (l *Lease) Held(now time.Time) (epoch int64, until time.Time, ok bool) {
	if l.epoch == 0 || !now.Before(l.heldUntil) {
		return 0, time.Time{}, false
	}
	return l.epoch, l.heldUntil, true
}

// Next returns the action that is due at now. For a Write it also returns the record to write and the object
// version on which the write must be conditional. shouldHold is true if this process should hold the lease;
// operation is the ID given to a write.
func (l *Lease) Next(now time.Time, shouldHold bool, operation string) (Action, Record, int64) {
	if !l.known || len(l.inflight) > 0 {
		return Read, Record{}, 0
	}
	_, until, held := l.Held(now)
	switch {
	case held && !shouldHold:
		return Write, Record{Epoch: l.epoch, Operation: operation, TTLMillis: 0}, l.version
	case held && until.Sub(now) < l.ttl*2/3:
		return Write, l.claimRecord(l.epoch, operation), l.version
	case held:
		return Wait, Record{}, 0
	case shouldHold && l.available(now):
		return Write, l.claimRecord(max(l.record.Epoch, l.lowestEpoch)+1, operation), l.version
	case now.Sub(l.refreshedAt) >= l.ttl/3:
		return Read, Record{}, 0
	default:
		return Wait, Record{}, 0
	}
}

func (l *Lease) claimRecord(epoch int64, operation string) Record {
	return Record{Holder: l.self, Epoch: epoch, Operation: operation, TTLMillis: l.ttl.Milliseconds()}
}

// RaiseEpochs makes this process claim the lease only with epochs above the given one. The store may have lost the records of
// earlier ones.
func (l *Lease) RaiseEpochs(above int64) { l.lowestEpoch = max(l.lowestEpoch, above) }

// available reports whether the lease last seen has certainly expired, was released or was never held.
func (l *Lease) available(now time.Time) bool {
	if l.version == 0 || l.record.Holder == "" {
		return true
	}
	ttl := time.Duration(l.record.TTLMillis) * time.Millisecond
	return now.Sub(l.versionSeenAt) > ttl+l.margin
}

// Sending records that record is about to be written at now. A release ends this process's tenure at once,
// not with the answer, which may be lost while another process takes over.
func (l *Lease) Sending(record Record, now time.Time) {
	l.inflight[record.Operation] = now
	if record.Holder == "" {
		l.epoch = 0
	}
}

// Observed records the object as read, with the answer received at the instant at; version 0 means that the
// object does not exist. A write of this process whose answer was lost is recognised by its operation ID.
func (l *Lease) Observed(version int64, record Record, at time.Time) {
	l.refreshedAt = at
	l.known = true
	if version <= l.version && version != 0 {
		l.dropExpiredWrites(at)
		return
	}
	l.RaiseEpochs(record.Epoch)
	l.version = version
	l.record = record
	l.versionSeenAt = at
	sent, ours := l.inflight[record.Operation]
	if ours && record.Holder == l.self {
		l.epoch = record.Epoch
		l.heldUntil = sent.Add(time.Duration(record.TTLMillis) * time.Millisecond)
	} else {
		l.epoch = 0
	}
	clear(l.inflight)
}

// Reported records a version of the object that the lease's holder reported to this process, received at the
// instant at. After a failure of the holder, this process then need not first read the object and wait a full
// time to live from the read. A report of an outdated version is harmless: a write conditional on it is refused.
func (l *Lease) Reported(version int64, record Record, at time.Time) {
	if version <= l.version || len(l.inflight) > 0 || record.Holder == l.self {
		return
	}
	l.RaiseEpochs(record.Epoch)
	l.version = version
	l.record = record
	l.versionSeenAt = at
	l.refreshedAt = at
	l.known = true
	l.epoch = 0
}

// HeldElsewhere reports whether another process holds the lease according to the version last seen: the lease may
// not have expired yet, and its holder has neither released it nor reported that it does not hold it.
func (l *Lease) HeldElsewhere(now time.Time) bool {
	return l.known && l.record.Holder != l.self && l.disclaimedVersion != l.version && !l.available(now)
}

// Disclaimed records that the process by has reported that it does not hold the lease.
func (l *Lease) Disclaimed(by string) {
	if l.record.Holder == by {
		l.disclaimedVersion = l.version
	}
}

// Latest returns the version and the record of the object as last seen.
func (l *Lease) Latest() (int64, Record) { return l.version, l.record }

// dropExpiredWrites removes writes in flight that were sent more than the time to live ago, because no answer arrives
// that late. If such a write takes effect after all, it changes the object's version, and the next write of this
// process, which is conditional on the earlier version, is refused.
func (l *Lease) dropExpiredWrites(at time.Time) {
	for op, sent := range l.inflight {
		if at.Sub(sent) > l.ttl {
			delete(l.inflight, op)
		}
	}
}

// Applied records that the write of record took effect and gave the object this version, with the answer received at
// the instant at.
func (l *Lease) Applied(version int64, record Record, at time.Time) {
	l.Observed(version, record, at)
}

// Refused records that the write with this operation ID did not take effect; the object must be read again.
func (l *Lease) Refused(operation string) {
	delete(l.inflight, operation)
	l.known = false
}
