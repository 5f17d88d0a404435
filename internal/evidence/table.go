// Package evidence keeps what observers say about replica groups: for how long routers may use each.
//
// A group without live evidence is not used. Evidence ends by itself, so a group goes out of use
// within its lifetime after a member's last answer, whoever has died or is cut off.
package evidence

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// keep is how long an expired look is kept, so that a late copy of it is still known to be old.
const keep = 30 * time.Second

// Table holds the latest look of each observer at each domain.
type Table struct {
	shards [shardCount]shard

	mu       sync.Mutex
	sequence uint64
}

type shard struct {
	mu    sync.RWMutex
	looks map[string]map[string]heldLook // by domain and observer
}

type heldLook struct {
	Look
	stored   time.Time
	sequence uint64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].looks = make(map[string]map[string]heldLook)
	}
	return t
}

func (t *Table) shard(domain string) *shard {
	return &t.shards[xxhash.Sum64String(domain)%shardCount]
}

// Put takes in a look unless a later one of the same observer is held. Copies of one look that came
// by different ways are merged to the longest expiry, each being a safe bound.
func (t *Table) Put(l Look, now time.Time) bool {
	s := t.shard(l.Domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.looks[l.Domain] == nil {
		s.looks[l.Domain] = make(map[string]heldLook)
	}
	held, ok := s.looks[l.Domain][l.Observer]
	if ok && held.Sequence > l.Sequence {
		return false
	}
	if ok && held.Sequence == l.Sequence && !extend(&l, held.Look) {
		return false
	}
	t.mu.Lock()
	t.sequence++
	s.looks[l.Domain][l.Observer] = heldLook{l, now, t.sequence}
	t.mu.Unlock()
	return true
}

// extend raises the expiries of l to those of held, and reports whether l was later anywhere.
func extend(l *Look, held Look) bool {
	if len(l.Groups) != len(held.Groups) {
		return false
	}
	later := false
	for i := range l.Groups {
		switch {
		case l.Groups[i].Expires.After(held.Groups[i].Expires):
			later = true
		default:
			l.Groups[i].Expires = held.Groups[i].Expires
		}
	}
	return later
}

// Group returns the evidence for a group of a domain, whose birth must match.
func (t *Table) Group(domain, id string, birth int64) (Group, bool) {
	s := t.shard(domain)
	s.mu.RLock()
	defer s.mu.RUnlock()
	best, found := Group{}, false
	for _, look := range s.looks[domain] {
		for _, g := range look.Groups {
			if g.ID == id && g.Birth == birth && (!found || g.Expires.After(best.Expires)) {
				best, found = g, true
			}
		}
	}
	return best, found
}

// Since returns the looks stored after that sequence, and the newest sequence.
func (t *Table) Since(sequence uint64) ([]Look, uint64) {
	t.mu.Lock()
	newest := t.sequence
	t.mu.Unlock()
	if newest == sequence {
		return nil, newest
	}
	var out []Look
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, observers := range s.looks {
			for _, l := range observers {
				if l.sequence > sequence && l.sequence <= newest {
					out = append(out, l.Look)
				}
			}
		}
		s.mu.RUnlock()
	}
	return out, newest
}

// Sweep forgets looks that ended long ago.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for domain, observers := range s.looks {
			for observer, l := range observers {
				if now.Sub(l.stored) > keep {
					delete(observers, observer)
				}
			}
			if len(observers) == 0 {
				delete(s.looks, domain)
			}
		}
		s.mu.Unlock()
	}
}
