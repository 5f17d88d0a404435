package follow

import (
	"sync"
	"time"
)

// proof records as of when this node's copy of the store is certainly current.
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

// current returns the time as of which the copy of one prefix is certainly current.
func (p *proof) current(prefix string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest(p.direct[prefix])
}

func (p *proof) newest(direct time.Time) time.Time {
	if direct.After(p.relayed) {
		return direct
	}
	return p.relayed
}

// currentAll returns the time as of which the copy of all prefixes is certainly current, and watching if it was obtained from
// the store itself.
func (p *proof) currentAll() (at time.Time, watching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest time.Time
	for i, prefix := range p.prefixes {
		if d := p.direct[prefix]; i == 0 || d.Before(oldest) {
			oldest = d
		}
	}
	return p.newest(oldest), !oldest.IsZero() && !oldest.Before(p.relayed)
}
