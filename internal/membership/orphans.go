package membership

import (
	"sync"
	"time"
)

// orphanAfter is how long a data centre must be without a live node before nodes of others take its part.
const orphanAfter = 8 * time.Second

// Orphans knows the data centres that have lost all their nodes, and which nodes of the same region take their
// part: their engine VMs may well be alive.
type Orphans struct {
	members *Table
	region  func(dataCentre string) string

	mu    sync.Mutex
	empty map[string]time.Time // data centre → since when no node of it is heard
}

// NewOrphans returns an Orphans; region gives a data centre's region.
func NewOrphans(members *Table, region func(string) string) *Orphans {
	return &Orphans{members: members, region: region, empty: make(map[string]time.Time)}
}

// Guardians returns the nodes that act for a data centre, the first of them for its lease: its own live
// nodes, or after a while without any the region's.
func (o *Orphans) Guardians(dataCentre string, now time.Time) []Member {
	own := o.members.LiveIn(dataCentre, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(own) > 0 {
		delete(o.empty, dataCentre)
		return own
	}
	since, known := o.empty[dataCentre]
	if !known {
		o.empty[dataCentre] = now
		return nil
	}
	if now.Sub(since) < orphanAfter {
		return nil
	}
	var near []Member
	for _, m := range o.members.Live(now) {
		if o.region(m.DataCentre) == o.region(dataCentre) {
			near = append(near, m)
		}
	}
	return near
}
