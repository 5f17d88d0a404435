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
	vmListEvery  = 2 * time.Second
	limitsEvery  = time.Minute
	vmListMaxAge = 30 * time.Second
)

// VMWatch polls the platform's VM list and the weight store's limits while the lease is held.
type VMWatch struct {
	list    infra.VMList
	weights infra.WeightStore
	active  func() bool

	mu     sync.RWMutex
	vms    map[string]infra.VMState
	seen   map[string]bool // VMs that have been listed once: a list that lags may not have new ones yet
	read   time.Time
	limits infra.WeightLimits
}

// NewVMWatch returns a VMWatch that polls while active returns true.
func NewVMWatch(list infra.VMList, weights infra.WeightStore, active func() bool) *VMWatch {
	return &VMWatch{list: list, weights: weights, active: active, seen: make(map[string]bool)}
}

// State returns what the list says of a VM. known is false while the list is too old to say anything or
// has never had the VM; a known VM that the list no longer has is "".
func (w *VMWatch) State(vm string) (state infra.VMState, known bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if clock.Since(w.read) > vmListMaxAge {
		return "", false
	}
	return w.vms[vm], w.seen[vm]
}

// Limits returns the weight store's limits, zero before they are known.
func (w *VMWatch) Limits() infra.WeightLimits {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.limits
}

// Run polls until ctx ends.
func (w *VMWatch) Run(ctx context.Context) error {
	var limitsRead time.Time
	loop.Every(ctx, vmListEvery, func(now time.Time) {
		if !w.active() {
			return
		}
		w.readList(ctx)
		if now.Sub(limitsRead) > limitsEvery && w.readLimits(ctx) {
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
	w.vms, w.read = states, sent
	for name := range states {
		w.seen[name] = true
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
