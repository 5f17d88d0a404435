package observer

import (
	"maps"
	"sync"

	"moorrun.dev/moorrun/internal/replica"
)

// vmViews holds the last answer of each VM of a domain, by VM name. It is safe for concurrent use.
type vmViews struct {
	mu  sync.Mutex
	vms map[string]replica.VMView
}

func (v *vmViews) put(vm string, view replica.VMView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms[vm] = view
}

func (v *vmViews) copy() map[string]replica.VMView {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.vms)
}
