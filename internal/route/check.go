package route

import "github.com/zeebo/errs"

// Error is the class of errors about configurations that cannot be in force.
var Error = errs.Class("route")

// Check returns an error if the table holds what no node could go by: negative times, numbers or weights, or models without members.
func (t *Table) Check() error {
	if t.Version < 0 {
		return Error.New("version %d is negative", t.Version)
	}
	if l := t.Limits; min(l.HeaderBytes, l.BodyBytes) < 0 || min(l.HeaderTimeout, l.IdleTimeout) < 0 {
		return Error.New("a limit is out of range")
	}
	for _, list := range t.hosts {
		for _, r := range list {
			if err := r.check(); err != nil {
				return err
			}
		}
	}
	for _, s := range t.services {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) check() error {
	if min(r.Timeout, r.Objective, r.GapObjective) < 0 || r.MaxAttempts < 0 {
		return Error.New("route %.80q: a time or the number of attempts is out of range", r.Name)
	}
	for _, t := range r.Targets {
		if t.Weight < 0 || t.Weight > maxWeight {
			return Error.New("route %.80q: weight %d is not between 0 and %d", r.Name, t.Weight, maxWeight)
		}
	}
	return nil
}

// maxWeight keeps the sum of a route's weights within the range of int.
const maxWeight = 1 << 31

func (s *Service) check() error {
	if s.MaxConnections < 0 || s.ColdFor < 0 || s.ColdPerSecond < 0 {
		return Error.New("service %.80q: a number or the cold time is out of range", s.Name)
	}
	if s.Engine == nil {
		return nil
	}
	if err := s.Engine.check(); err != nil {
		return Error.New("service %.80q: %w", s.Name, err)
	}
	return nil
}

func (e *Engine) check() error {
	f := &e.Figures
	switch {
	case min(e.Slots, e.LoadsAtOnce, f.Stride) < 0, min(e.LoadsPerSecond, f.ReadPerSecond) < 0:
		return Error.New("a number of the engine is negative")
	case min(e.FormationTime, e.ReportLag, f.Step, f.PerWriter, f.ContextPerK, f.PairsPerM) < 0:
		return Error.New("a time of the engine is out of range")
	}
	for _, m := range e.Models {
		if m.Size < 1 || min(m.Pace, m.Share) < 0 || min(m.Load, m.Warm) < 0 {
			return Error.New("model %.80q: the size is below 1, or a number or time is out of range", m.Name)
		}
	}
	return nil
}
