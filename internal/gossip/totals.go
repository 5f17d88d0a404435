package gossip

import (
	"maps"
	"slices"
	"time"
)

// Totals are the loads and doubts of several nodes together.
type Totals struct {
	Busy     int // nodes with requests
	Loads    Loads
	Limits   RateLimits
	Cold     RateLimits
	Suspects map[string]time.Time // groups that stand still, since when at the latest
	Retiring []string             // groups that a leader is about to end
	Lost     []string             // groups that a leader has found to have lost a member
	Demands  map[string]Demand    // by model
}

// NewTotals returns Totals of no node.
func NewTotals() *Totals {
	return &Totals{Loads: make(Loads), Limits: make(RateLimits), Cold: make(RateLimits), Suspects: make(map[string]time.Time), Demands: make(map[string]Demand)}
}

// Add counts in what a node has told.
func (t *Totals) Add(s *Status) {
	t.Busy += s.Busy
	for endpoint, n := range s.Loads {
		t.Loads[endpoint] += n
	}
	t.Limits.add(s.Limits)
	t.Cold.add(s.Cold)
	for group, at := range s.Suspects {
		if at.After(t.Suspects[group]) {
			t.Suspects[group] = at
		}
	}
	for model, d := range s.Demands {
		t.Demands[model] = t.Demands[model].Plus(d)
	}
	t.Retiring = union(t.Retiring, s.Retiring)
	t.Lost = union(t.Lost, s.Lost)
}

// union adds what the list does not hold yet.
func union(list, more []string) []string {
	for _, name := range more {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// AddTotals counts in what other totals cover.
func (t *Totals) AddTotals(other *Totals) {
	s := other.over(Status{})
	t.Add(&s)
}

// without returns the totals less the loads, sendings and demands of one of the nodes that were counted in. Its doubts stay:
// it knows them anyway.
func (t *Totals) without(s *Status) *Totals {
	out := *t
	out.Busy -= s.Busy
	out.Loads, out.Demands = maps.Clone(t.Loads), maps.Clone(t.Demands)
	out.Limits, out.Cold = t.Limits.less(s.Limits), t.Cold.less(s.Cold)
	for endpoint, n := range s.Loads {
		if out.Loads[endpoint] -= n; out.Loads[endpoint] <= 0 {
			delete(out.Loads, endpoint)
		}
	}
	for model, d := range s.Demands {
		out.Demands[model] = t.Demands[model].less(d)
	}
	return &out
}

// over returns the status with the totals in place of the node's own loads and doubts.
func (t *Totals) over(s Status) Status {
	s.Limits, s.Cold = t.Limits, t.Cold
	s.Busy, s.Loads, s.Suspects, s.Retiring, s.Lost, s.Demands = t.Busy, t.Loads, t.Suspects, t.Retiring, t.Lost, t.Demands
	return s
}
