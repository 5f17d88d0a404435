package follow

import (
	"sync"
	"time"
)

// proof says as of when this node's copy of the store is certainly current.
type proof struct {
	mu       sync.Mutex
	prefixes []string
	direct   map[string]time.Time // by prefix, from the store itself
	relayed  time.Time            // from another node, for all prefixes
}

func newProof(prefixes ...string) *proof {
	return &proof{prefixes: prefixes, direct: make(map[string]time.Time)}
}

func (p *proof) fromStore(prefix string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.direct[prefix]) {
		p.direct[prefix] = at
	}
}

func (p *proof) fromPeer(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.relayed) {
		p.relayed = at
	}
}

// of returns the instant for one prefix.
func (p *proof) of(prefix string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.later(p.direct[prefix])
}

func (p *proof) later(direct time.Time) time.Time {
	if direct.After(p.relayed) {
		return direct
	}
	return p.relayed
}

// whole returns the instant for all prefixes, and watching if the store itself gave it.
func (p *proof) whole() (at time.Time, watching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for i, prefix := range p.prefixes {
		if d := p.direct[prefix]; i == 0 || d.Before(oldest) {
			oldest = d
		}
	}
	return p.later(oldest), !oldest.IsZero() && !oldest.Before(p.relayed)
}
