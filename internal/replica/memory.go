package replica

import "time"

// Memory is what the planner of one fabric domain remembers between plans; a new lease holder starts empty.
type Memory struct {
	lostSince  map[string]time.Time // VM → last answer before its silence
	givenUp    map[string]bool      // VMs whose silence has outlasted the longest wait
	drainSince map[string]time.Time // group → when this holder first saw it draining
	pauses     pauseLog
	reload     time.Duration // latest measured load of a group, 0 before the first
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{lostSince: make(map[string]time.Time), givenUp: make(map[string]bool), drainSince: make(map[string]time.Time)}
}

// observe updates what is remembered about silent VMs and draining groups.
func (m *Memory) observe(a *Assignment, v View, p Policy) {
	for _, vm := range v.Domain.VMs {
		state := v.VMs[vm.Name]
		since, wasLost := m.lostSince[vm.Name]
		switch {
		case !state.Answered:
		case state.silent(v.Now, p.LossAfter) && !wasLost:
			m.lostSince[vm.Name] = state.LastAnswer
		case !state.silent(v.Now, p.LossAfter) && wasLost:
			if !m.givenUp[vm.Name] {
				m.pauses.add(state.LastAnswer.Sub(since))
			}
			delete(m.lostSince, vm.Name)
			delete(m.givenUp, vm.Name)
		case wasLost && v.Now.Sub(since) > p.MaxWait && !m.givenUp[vm.Name]:
			m.givenUp[vm.Name] = true
			m.pauses.giveUp()
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
