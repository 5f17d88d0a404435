package standin

import "sync"

// EngineRegistry knows the engines by address, so that a leader computes only while its members live.
type EngineRegistry struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewEngineRegistry returns a Fabric without engines.
func NewEngineRegistry() *EngineRegistry { return &EngineRegistry{engines: make(map[string]*Engine)} }

func (f *EngineRegistry) add(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[e.Address] = e
}

// Alias lets an engine be named by another address too.
func (f *EngineRegistry) Alias(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// whole reports whether every member lives and is in the leader's group.
func (f *EngineRegistry) whole(members []string, group string, birth int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range members {
		e, ok := f.engines[address]
		if !ok || !e.Alive() || !e.inGroup(group, birth) {
			return false
		}
	}
	return true
}
