package holder

import (
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/replica"
)

// maxMeteredStep is the longest step that is charged. A longer step means that the holder paused, and such a
// pause is not charged to the groups.
const maxMeteredStep = time.Second

// LossMeter sums the downtime and the stranded accelerator time caused by replica groups that are not whole
// (some member VM is silent or not ready), while this node holds the lease.
type LossMeter struct {
	mu       sync.Mutex
	lastStep map[string]time.Time         // by domain: when its losses were last updated
	losses   map[string]*burn.GroupLosses // by workspace
}

// NewLossMeter returns an empty LossMeter.
func NewLossMeter() *LossMeter {
	return &LossMeter{lastStep: make(map[string]time.Time), losses: make(map[string]*burn.GroupLosses)}
}

// Losses returns the sums by workspace. Idle accelerators in no group are counted under the empty workspace name.
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
	step := v.Now.Sub(m.lastStep[d.Name])
	m.lastStep[d.Name] = v.Now
	if step <= 0 || step > maxMeteredStep {
		return
	}
	incomplete := make(map[string]bool)
	for _, g := range a.Groups {
		if replica.AllVMsReady(g, v.VMs, v.Now, limit) {
			continue
		}
		incomplete[g.ID] = true
		if g.HasServed() {
			m.workspaceLosses(g.Workspace).DowntimeSeconds += step.Seconds()
		}
	}
	for _, vm := range d.VMs {
		if !v.VMs[vm.Name].Answered || v.Now.Sub(v.VMs[vm.Name].LastAnswer) > limit {
			continue // accelerators of a lost VM are unavailable and do not count as stranded
		}
		g := a.GroupOf(vm.Name)
		switch {
		case g == nil:
			m.workspaceLosses("").StrandedSeconds += step.Seconds() * float64(vm.Accelerators)
		case incomplete[g.ID]:
			m.workspaceLosses(g.Workspace).StrandedSeconds += step.Seconds() * float64(vm.Accelerators)
		}
	}
}

func (m *LossMeter) workspaceLosses(workspace string) *burn.GroupLosses {
	l, ok := m.losses[workspace]
	if !ok {
		l = &burn.GroupLosses{Workspace: workspace}
		m.losses[workspace] = l
	}
	return l
}
