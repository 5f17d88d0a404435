package holder

import (
	"context"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/loop"
)

const (
	vmListInterval = 2 * time.Second
	limitsInterval = time.Minute
	vmListMaxAge   = 30 * time.Second // an older list is not used
)

// VMWatch polls the platform's VM list and the weight store's limits while this node holds a lease.
type VMWatch struct {
	list    infra.VMList
	weights infra.WeightStore
	active  func() bool

	mu         sync.RWMutex
	vms        map[string]infra.VMState
	everListed map[string]bool // VMs listed at least once; the platform's list may lag and lack new VMs
	readAt     time.Time
	limits     infra.WeightLimits
}

// NewVMWatch returns a VMWatch that polls while active returns true.
func NewVMWatch(list infra.VMList, weights infra.WeightStore, active func() bool) *VMWatch {
	return &VMWatch{list: list, weights: weights, active: active, everListed: make(map[string]bool)}
}

// State returns the VM's state in the platform's list. known is false if the list is older than vmListMaxAge
// or has never contained the VM. The state of a known VM that is no longer listed is "".
func (w *VMWatch) State(vm string) (state infra.VMState, known bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if clock.Since(w.readAt) > vmListMaxAge {
		return "", false
	}
	return w.vms[vm], w.everListed[vm]
}

// Limits returns the weight store's limits, or the zero value before they are known.
func (w *VMWatch) Limits() infra.WeightLimits {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.limits
}

// Run polls until ctx is done.
func (w *VMWatch) Run(ctx context.Context) error {
	var limitsRead time.Time
	loop.Every(ctx, vmListInterval, func(now time.Time) {
		if !w.active() {
			return
		}
		w.readList(ctx)
		if now.Sub(limitsRead) > limitsInterval && w.readLimits(ctx) {
			limitsRead = now
		}
	})
	return nil
}

func (w *VMWatch) readList(ctx context.Context) {
	sent := clock.Now()
	vms, err := w.list.VMs(ctx)
	if err != nil {
		return
	}
	states := make(map[string]infra.VMState, len(vms))
	for _, vm := range vms {
		states[vm.Name] = vm.State
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms, w.readAt = states, sent
	for name := range states {
		w.everListed[name] = true
	}
}

func (w *VMWatch) readLimits(ctx context.Context) bool {
	limits, err := w.weights.Limits(ctx)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
	return true
}
