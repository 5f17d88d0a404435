package mirror

import "moorrun.dev/moorrun/internal/infra"

// Mark records which nodes need this version of an object: all, for routing, or only those that form replica groups. Nodes that
// only route get neither unmarked changes nor any that follow them.
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
	if e.usage == usageUnknown {
		m.unmarked--
	}
	e.usage = usageFormation
	if routing {
		e.usage = usageRouting
	}
	e.everRouting = e.everRouting || routing
	if e.everRouting {
		m.lastRouting = max(m.lastRouting, e.sequence)
	}
}

// RoutingSequence returns the sequence of the last change that is needed for routing. While there are unmarked changes, which
// may be needed too, it returns that of the newest change. A routing copy that includes all changes up to it is as current as
// this mirror.
func (m *Mirror) RoutingSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unmarked > 0 {
		return m.sequence
	}
	return m.lastRouting
}

// RoutingPage is like Page for nodes that only route requests. Objects that they needed before and no longer need are returned
// as removed.
func (m *Mirror) RoutingPage(sequence uint64, bytes int) ([]infra.Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []infra.Object
	for e := m.after(sequence); e != nil && e.usage != usageUnknown; e = next(e) {
		o := e.object
		if e.usage != usageRouting {
			o = tombstone(o)
		}
		if e.everRouting {
			if bytes -= len(o.Value); bytes < 0 && len(out) > 0 {
				break
			}
			out = append(out, o)
		}
		sequence = e.sequence
	}
	return out, sequence
}
