package holder

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/replica"
)

// maxMeterStep bounds the time charged for one step, so that a pause of the holder is not charged to groups.
const maxMeterStep = time.Second

// LossMeter adds up what replica groups that are not whole cost, while the lease is held here.
type LossMeter struct {
	mu     sync.Mutex
	last   map[string]time.Time // domain → last step
	losses map[string]*burn.GroupLosses
}

// NewLossMeter returns an empty LossMeter.
func NewLossMeter() *LossMeter {
	return &LossMeter{last: make(map[string]time.Time), losses: make(map[string]*burn.GroupLosses)}
}

// Losses returns the sums by workspace; accelerators in no group stand under the empty workspace.
func (m *LossMeter) Losses() []burn.GroupLosses {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []burn.GroupLosses
	for _, l := range m.losses {
		out = append(out, *l)
	}
	return out
}

func (m *LossMeter) add(d config.Domain, a *replica.Assignment, v replica.View, limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	step := v.Now.Sub(m.last[d.Name])
	m.last[d.Name] = v.Now
	if step <= 0 || step > maxMeterStep {
		return
	}
	broken := make(map[string]bool)
	for _, g := range a.Groups {
		if replica.Whole(g, v.VMs, v.Now, limit) {
			continue
		}
		broken[g.ID] = true
		if g.HasServed() {
			m.of(g.Workspace).DowntimeSeconds += step.Seconds()
		}
	}
	for _, vm := range d.VMs {
		if !v.VMs[vm.Name].Answered || v.Now.Sub(v.VMs[vm.Name].LastAnswer) > limit {
			continue // a lost VM's accelerators are not stranded but gone
		}
		g := a.GroupOf(vm.Name)
		switch {
		case g == nil:
			m.of("").StrandedSeconds += step.Seconds() * float64(vm.Accelerators)
		case broken[g.ID]:
			m.of(g.Workspace).StrandedSeconds += step.Seconds() * float64(vm.Accelerators)
		}
	}
}

func (m *LossMeter) of(workspace string) *burn.GroupLosses {
	l, ok := m.losses[workspace]
	if !ok {
		l = &burn.GroupLosses{Workspace: workspace}
		m.losses[workspace] = l
	}
	return l
}
