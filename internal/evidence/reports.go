package evidence

import (
	"sync"

	"moorrun.dev/moorrun/internal/replica"
)

// Reports holds the latest report of each engine VM. The lease holder plans from it.
type Reports struct {
	mu  sync.RWMutex
	vms map[string]replica.VMView
}

// NewReports returns an empty Reports.
func NewReports() *Reports {
	return &Reports{vms: make(map[string]replica.VMView)}
}

// Put stores a report unless the stored one contains a later answer of the VM.
func (r *Reports) Put(vm string, view replica.VMView) {
	if !view.Answered {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.vms[vm]; ok && held.LastAnswer.After(view.LastAnswer) {
		return
	}
	r.vms[vm] = view
}

// Get returns the latest report of vm, or the zero value if there is none.
func (r *Reports) Get(vm string) replica.VMView {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.vms[vm]
}
