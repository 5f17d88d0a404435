package mirror

import "moorrun.dev/moorrun/internal/infra"

// Mark notes who needs an object of that version: all nodes, for routing, or only those that form replica groups. Nothing
// that is not marked, nor what came after it, is given to nodes that only route.
func (m *Mirror) Mark(o infra.Object, routing bool) {
	s := m.shard(o.Key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[o.Key]
	if e == nil || e.object.Version != o.Version {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.use == unknown {
		m.unmarked--
	}
	e.use = forForming
	if routing {
		e.use = forRouting
	}
	e.routed = e.routed || routing
	if e.routed {
		m.routing = max(m.routing, e.sequence)
	}
}

// RoutingSequence returns the sequence of the last change that nodes need which only route, or that may be one: a node that
// has everything up to it and nothing later is as current as this one.
func (m *Mirror) RoutingSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unmarked > 0 {
		return m.sequence
	}
	return m.routing
}

// RoutingPage is Page for nodes that only route. What they needed before and do not any more is given as removed.
func (m *Mirror) RoutingPage(sequence uint64, bytes int) ([]infra.Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []infra.Object
	for e := m.after(sequence); e != nil && e.use != unknown; e = next(e) {
		o := e.object
		if e.use != forRouting {
			o = dropped(o)
		}
		if e.routed {
			if bytes -= len(o.Value); bytes < 0 && len(out) > 0 {
				break
			}
			out = append(out, o)
		}
		sequence = e.sequence
	}
	return out, sequence
}
