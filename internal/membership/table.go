// Package membership keeps the table of moorrund processes and when each was last heard from.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// LiveFor is how long a member counts as live after it was last heard from.
const LiveFor = 5 * time.Second

// memberTTL is how long a member is kept after it was last heard from.
const memberTTL = 10 * time.Minute

// Table holds the members by VM, this process included.
type Table struct {
	self string

	mu       sync.RWMutex
	members  map[string]memberRecord
	sequence uint64
}

type memberRecord struct {
	Member
	sequence uint64 // table sequence at the last change to a field other than Heard
}

// NewTable returns a table that contains only self, the record of this process.
func NewTable(self Member) *Table {
	t := &Table{self: self.VM, members: make(map[string]memberRecord)}
	t.Put(self)
	return t
}

// Put merges a received record into the table. For one process it keeps the record with the highest Change and the
// latest Heard time, in whichever order they arrive. Of two processes of a VM it keeps the one heard from last.
func (t *Table) Put(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.members[m.VM]
	if !known {
		t.store(m)
		return
	}
	if held.Incarnation != m.Incarnation {
		if m.Heard.After(held.Heard) {
			t.store(m)
		}
		return
	}
	latest := held.Heard
	if m.Heard.After(latest) {
		latest = m.Heard
	}
	if m.Change > held.Change {
		m.Heard = latest
		t.store(m)
		return
	}
	held.Heard = latest
	t.members[m.VM] = held
}

// store replaces a member's record and gives it a new sequence, so that Since returns it and the links pass it on.
func (t *Table) store(m Member) {
	t.sequence++
	t.members[m.VM] = memberRecord{m, t.sequence}
}

// Heard records that a known process was alive at the given time, if that is later than the time held. It ignores this
// process itself, unknown VMs and other incarnations.
func (t *Table) Heard(vm, incarnation string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, known := t.members[vm]; known && vm != t.self && held.Incarnation == incarnation && at.After(held.Heard) {
		held.Heard = at
		t.members[vm] = held
	}
}

// Update changes this process's own record.
func (t *Table) Update(change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[t.self].Member
	change(&m)
	m.Change++
	t.store(m)
}

// Self returns this process's own record with Heard set to now.
func (t *Table) Self(now time.Time) Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.members[t.self].Member
	m.Heard = now
	return m
}

// Get returns the member on the given VM.
func (t *Table) Get(vm string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[vm]
	return m.Member, ok
}

// Live returns the members heard from within LiveFor, ordered by VM. It always includes this process.
func (t *Table) Live(now time.Time) []Member {
	return t.list(now, LiveFor)
}

// All returns the members heard from within memberTTL, ordered by VM.
func (t *Table) All(now time.Time) []Member { return t.list(now, memberTTL) }

func (t *Table) list(now time.Time, within time.Duration) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Member, 0, len(t.members))
	for vm, m := range t.members {
		if vm == t.self {
			m.Heard = now
		}
		if now.Sub(m.Heard) <= within {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// LiveIn returns the live members of the given data centre.
func (t *Table) LiveIn(dataCentre string, now time.Time) []Member {
	return slices.DeleteFunc(t.Live(now), func(m Member) bool { return m.DataCentre != dataCentre })
}

// Since returns the members whose records changed after the given sequence, and the latest sequence.
func (t *Table) Since(sequence uint64, now time.Time) ([]Member, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Member
	for vm, m := range t.members {
		if m.sequence <= sequence {
			continue
		}
		if vm == t.self {
			m.Heard = now
		}
		out = append(out, m.Member)
	}
	return out, t.sequence
}

// Sweep removes members that were not heard from within memberTTL.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm, m := range t.members {
		if vm != t.self && now.Sub(m.Heard) > memberTTL {
			delete(t.members, vm)
		}
	}
}
