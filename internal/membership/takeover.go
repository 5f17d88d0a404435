package membership

import (
	"sync"
	"time"
)

// takeoverAfter is how long a data centre must be without a live node before nodes of other data centres act for it.
const takeoverAfter = 8 * time.Second

// Takeover tracks the data centres without live nodes and selects nodes of the same region to act for them, because
// the engine VMs of such a data centre may still be running.
type Takeover struct {
	members *Table
	region  func(dataCentre string) string

	mu         sync.Mutex
	emptySince map[string]time.Time // data centre → time since which it has had no live node
}

// NewTakeover returns a Takeover; region maps a data centre to its region.
func NewTakeover(members *Table, region func(string) string) *Takeover {
	return &Takeover{members: members, region: region, emptySince: make(map[string]time.Time)}
}

// ActingNodes returns the nodes that act for a data centre: its own live nodes or, after takeoverAfter without any, all
// live nodes of its region. Of nodes of other data centres, the first in rank competes for the data centre's lease.
func (t *Takeover) ActingNodes(dataCentre string, now time.Time) []Member {
	own := t.members.LiveIn(dataCentre, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(own) > 0 {
		delete(t.emptySince, dataCentre)
		return own
	}
	since, known := t.emptySince[dataCentre]
	if !known {
		t.emptySince[dataCentre] = now
		return nil
	}
	if now.Sub(since) < takeoverAfter {
		return nil
	}
	var acting []Member
	for _, m := range t.members.Live(now) {
		if t.region(m.DataCentre) == t.region(dataCentre) {
			acting = append(acting, m)
		}
	}
	return acting
}
