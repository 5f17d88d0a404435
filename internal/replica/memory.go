package replica

import "time"

// Memory is the planner's in-memory state for one fabric domain between plans. A new lease holder starts with an
// empty one.
type Memory struct {
	lostSince    map[string]time.Time // VM → time of its last answer before it was lost
	waitExceeded map[string]bool      // lost VMs silent for longer than Policy.MaxWait
	drainSince   map[string]time.Time // group id → when this lease holder first saw it draining
	pauses       pauseLog
	reload       time.Duration // latest measured load time of a group; 0 if none was measured yet
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{lostSince: make(map[string]time.Time), waitExceeded: make(map[string]bool), drainSince: make(map[string]time.Time)}
}

// observe updates the state of lost VMs, load times and draining groups from v and a.
func (m *Memory) observe(a *Assignment, v View, p Policy) {
	for _, vm := range v.Domain.VMs {
		state := v.VMs[vm.Name]
		since, wasLost := m.lostSince[vm.Name]
		switch {
		case !state.Answered:
		case state.silent(v.Now, p.LossAfter) && !wasLost:
			m.lostSince[vm.Name] = state.LastAnswer
		case !state.silent(v.Now, p.LossAfter) && wasLost:
			if !m.waitExceeded[vm.Name] {
				m.pauses.add(state.LastAnswer.Sub(since))
			}
			delete(m.lostSince, vm.Name)
			delete(m.waitExceeded, vm.Name)
		case wasLost && v.Now.Sub(since) > p.MaxWait && !m.waitExceeded[vm.Name]:
			m.waitExceeded[vm.Name] = true
			m.pauses.addLost()
		}
		if ms := state.State.LoadMillis; state.Answered && state.State.Ready && ms > 0 {
			m.reload = time.Duration(ms) * time.Millisecond
		}
	}
	for _, g := range a.Groups {
		if _, known := m.drainSince[g.ID]; !known && g.State == Draining {
			m.drainSince[g.ID] = v.Now
		}
	}
	for id := range m.drainSince {
		if a.Group(id) == nil {
			delete(m.drainSince, id)
		}
	}
}

func (m *Memory) reloadTime(p Policy) time.Duration {
	if m.reload > 0 {
		return m.reload
	}
	return p.Reload
}
