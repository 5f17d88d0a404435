// Package evidence stores the observations of replica groups. Each limits the time for which routers may use a group.
//
// A group without unexpired evidence is not used. Since evidence expires without any message, a group goes out of
// use within the evidence lifetime after a member's last answer, whichever process has failed or is unreachable.
package evidence

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// retention is how long an observation is kept after it was stored, also when it has expired, so that a delayed
// copy is still recognised as old.
const retention = 30 * time.Second

// Table holds the latest observation by each observer of each domain.
type Table struct {
	shards [shardCount]shard

	mu       sync.Mutex
	sequence uint64
}

type shard struct {
	mu           sync.RWMutex
	observations map[string]map[string]storedObservation // by domain, then by observer
}

type storedObservation struct {
	Observation
	stored   time.Time
	sequence uint64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].observations = make(map[string]map[string]storedObservation)
	}
	return t
}

func (t *Table) shard(domain string) *shard {
	return &t.shards[xxhash.Sum64String(domain)%shardCount]
}

// Put stores an observation unless a later one by the same observer is stored, and reports whether it changed the
// table. Copies of one observation that arrived over different links are merged: each group gets the latest
// expiry time, since each copy's is a safe bound.
func (t *Table) Put(o Observation, now time.Time) bool {
	s := t.shard(o.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observations[o.Domain] == nil {
		s.observations[o.Domain] = make(map[string]storedObservation)
	}
	held, ok := s.observations[o.Domain][o.Observer]
	if ok && held.Sequence > o.Sequence {
		return false
	}
	if ok && held.Sequence == o.Sequence && !mergeExpiries(&o, held.Observation) {
		return false
	}
	t.mu.Lock()
	t.sequence++
	s.observations[o.Domain][o.Observer] = storedObservation{o, now, t.sequence}
	t.mu.Unlock()
	return true
}

// mergeExpiries sets the expiry time of each group in o to the later of those in o and held. It reports whether
// that of o was the later one for any group.
func mergeExpiries(o *Observation, held Observation) bool {
	if len(o.Groups) != len(held.Groups) {
		return false
	}
	later := false
	for i := range o.Groups {
		switch {
		case o.Groups[i].Expires.After(held.Groups[i].Expires):
			later = true
		default:
			o.Groups[i].Expires = held.Groups[i].Expires
		}
	}
	return later
}

// Group returns the evidence with the latest expiry time for a group of a domain. The birth number must match.
func (t *Table) Group(domain, id string, birth int64) (Group, bool) {
	s := t.shard(domain)
	s.mu.RLock()
	defer s.mu.RUnlock()
	best, found := Group{}, false
	for _, observation := range s.observations[domain] {
		for _, g := range observation.Groups {
			if g.ID == id && g.Birth == birth && (!found || g.Expires.After(best.Expires)) {
				best, found = g, true
			}
		}
	}
	return best, found
}

// Since returns the observations stored after the given sequence number of the table, and the newest one.
func (t *Table) Since(sequence uint64) ([]Observation, uint64) {
	t.mu.Lock()
	newest := t.sequence
	t.mu.Unlock()
	if newest == sequence {
		return nil, newest
	}
	var out []Observation
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, observers := range s.observations {
			for _, o := range observers {
				if o.sequence > sequence && o.sequence <= newest {
					out = append(out, o.Observation)
				}
			}
		}
		s.mu.RUnlock()
	}
	return out, newest
}

// Sweep removes observations that were stored longer than retention ago.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for domain, observers := range s.observations {
			for observer, o := range observers {
				if now.Sub(o.stored) > retention {
					delete(observers, observer)
				}
			}
			if len(observers) == 0 {
				delete(s.observations, domain)
			}
		}
		s.mu.Unlock()
	}
}
