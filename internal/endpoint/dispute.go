package endpoint

import (
	"strconv"
	"strings"
	"time"
)

// disputeHeartbeats is the number of heartbeats for which an entry with an earlier start must stand until it counts. The endpoint whose
// entry it took the place of has written its own again by then, if it lives.
const disputeHeartbeats = 4

// dispute is an entry with an earlier start than the endpoint that is known under its ID: it was written late, or the endpoint has
// started again after its clock was set back.
type dispute struct {
	entry *Endpoint
	since time.Time
}

// startOf returns the start in an instance ID, in Unix milliseconds, or 0 if it is unknown.
func startOf(instance string) int64 {
	_, started, _ := strings.Cut(instance, instanceSeparator)
	n, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// StartedLater reports whether the endpoint known under the ID of an instance has started later than the instance, as far as its entry
// tells.
func (s *Snapshot) StartedLater(instance string) bool {
	if s.Endpoints[instance] != nil {
		return false
	}
	known := s.Listed(ListedID(instance))
	return known != nil && startOf(known.ID) > startOf(instance)
}

// withoutDisputed returns those of the changed entries that count at once. One without a start does not count while the endpoint of
// its ID is known with one, and one with an earlier start only once it has stood for some time. The caller holds d.mu.
func (d *Directory) withoutDisputed(changed []*Endpoint, now time.Time) []*Endpoint {
	known := make(map[string]int64)
	for id := range d.current.Load().Endpoints {
		known[ListedID(id)] = startOf(id)
	}
	var out []*Endpoint
	for _, e := range changed {
		listed, started := ListedID(e.ID), startOf(e.ID)
		before := d.disputed[listed]
		delete(d.disputed, listed)
		switch {
		case started >= known[listed]:
			out = append(out, e)
		case started == 0:
		case before.entry != nil && before.entry.ID == e.ID:
			d.disputed[listed] = dispute{e, before.since}
		default:
			d.disputed[listed] = dispute{e, now}
		}
	}
	return out
}

// Settle makes those entries with an earlier start count that have stood for long enough.
func (d *Directory) Settle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var settled []*Endpoint
	for listed, x := range d.disputed {
		if now.Sub(x.since) >= disputeHeartbeats*d.current.Load().heartbeat {
			settled = append(settled, x.entry)
			delete(d.disputed, listed)
		}
	}
	if len(settled) > 0 {
		d.apply(settled, nil, now)
	}
}
