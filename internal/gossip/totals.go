package gossip

import (
	"maps"
	"slices"
	"time"
)

// Totals are the combined loads, rate limits, demands and unusable replica groups of several nodes.
type Totals struct {
	Busy     int // number of nodes with requests
	Loads    Loads
	Unread   Unread // nil if no node reports it
	Limits   RateLimits
	Cold     RateLimits           // request counts at recently started endpoints
	Suspects map[string]time.Time // replica groups that have stalled, with the latest time that any node reports for each
	Retiring []string             // replica groups that a leader is about to end
	Lost     []string             // replica groups that a leader has found to have lost a member
	Demands  map[string]Demand    // by model
}

// NewTotals returns empty Totals.
func NewTotals() *Totals {
	return &Totals{Loads: make(Loads), Limits: make(RateLimits), Cold: make(RateLimits), Suspects: make(map[string]time.Time), Demands: make(map[string]Demand)}
}

// Add adds the status of a node.
func (t *Totals) Add(s *Status) {
	t.Busy += s.Busy
	for endpoint, n := range s.Loads {
		t.Loads[endpoint] += n
	}
	t.Unread = t.Unread.plus(s.Unread)
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
	t.Retiring = appendMissing(t.Retiring, s.Retiring)
	t.Lost = appendMissing(t.Lost, s.Lost)
}

// appendMissing appends to list the names that it does not contain yet.
func appendMissing(list, more []string) []string {
	for _, name := range more {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// AddTotals adds other totals.
func (t *Totals) AddTotals(other *Totals) {
	s := other.applyTo(Status{})
	t.Add(&s)
}

// without returns the totals without the loads, request counts and demands of one of the included nodes. Its suspects and
// its retiring and lost groups stay, because the receiver is that node itself, which has them anyway.
func (t *Totals) without(s *Status) *Totals {
	out := *t
	out.Busy -= s.Busy
	out.Loads, out.Demands = maps.Clone(t.Loads), maps.Clone(t.Demands)
	out.Unread = t.Unread.minus(s.Unread)
	out.Limits, out.Cold = t.Limits.minus(s.Limits), t.Cold.minus(s.Cold)
	for endpoint, n := range s.Loads {
		if out.Loads[endpoint] -= n; out.Loads[endpoint] <= 0 {
			delete(out.Loads, endpoint)
		}
	}
	for model, d := range s.Demands {
		out.Demands[model] = t.Demands[model].minus(d)
	}
	return &out
}

// applyTo returns the status with the totals in place of the node's own values.
func (t *Totals) applyTo(s Status) Status {
	s.Limits, s.Cold, s.Unread = t.Limits, t.Cold, t.Unread
	s.Busy, s.Loads, s.Suspects, s.Retiring, s.Lost, s.Demands = t.Busy, t.Loads, t.Suspects, t.Retiring, t.Lost, t.Demands
	return s
}
