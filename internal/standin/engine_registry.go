package standin

import "sync"

// EngineRegistry maps addresses to engines, so that a leader generates tokens only while all members of its group are
// alive.
type EngineRegistry struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewEngineRegistry returns an empty registry.
func NewEngineRegistry() *EngineRegistry { return &EngineRegistry{engines: make(map[string]*Engine)} }

func (r *EngineRegistry) add(e *Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[e.Address] = e
}

// Alias registers a further address for an engine, such as that of a proxy in front of it.
func (r *EngineRegistry) Alias(address string, e *Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[address] = e
}

// anyFrozen reports whether a member is frozen. One that has been killed is not.
func (r *EngineRegistry) anyFrozen(members []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range members {
		if e, ok := r.engines[address]; ok && e.isFrozen() {
			return true
		}
	}
	return false
}

// allInGroup reports whether every member is in the given group and none has been killed.
func (r *EngineRegistry) allInGroup(members []string, group string, birth int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range members {
		e, ok := r.engines[address]
		if !ok || !e.isRunning() || !e.inGroup(group, birth) {
			return false
		}
	}
	return true
}
