package reach

import (
	"sync"
	"time"
)

const (
	// directRetryInterval is the interval at which an endpoint that is reached through another node is dialed directly.
	directRetryInterval = time.Second
	// unreachableFor is how long an endpoint that neither this node nor the others could reach is not dialed through others.
	unreachableFor = 500 * time.Millisecond
	// pathRetention is how long a broken path is remembered without use.
	pathRetention = time.Minute
)

// paths holds the broken paths from this node to endpoints.
type paths struct {
	mu     sync.Mutex
	broken map[string]*path // by address
}

// path is a path to an endpoint that this node failed to connect to.
type path struct {
	peer             string    // the node through which the endpoint was last reached; empty if there is none
	retryAt          time.Time // the next direct attempt
	unreachableUntil time.Time
	lastUsed         time.Time
}

// detour returns the node through which to reach the address, and whether a direct attempt is due. The node is empty if the
// path is not known to be broken.
func (p *paths) detour(address string, now time.Time) (peer string, retry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	if b == nil || b.peer == "" {
		return "", false
	}
	b.lastUsed = now
	if now.Before(b.retryAt) {
		return b.peer, false
	}
	b.retryAt = now.Add(directRetryInterval)
	return b.peer, true
}

// isBroken reports whether the address is reached through another node.
func (p *paths) isBroken(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	return b != nil && b.peer != ""
}

// unreachable reports whether no node could connect to the address lately.
func (p *paths) unreachable(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.broken[address]
	return b != nil && now.Before(b.unreachableUntil)
}

// recordDetour records that the address was reached through a node although the direct attempt has failed or takes too long. It
// reports whether the path was not known to be broken.
func (p *paths) recordDetour(address, peer string, now time.Time) (first bool) {
	p.update(address, now, func(b *path) {
		if first = b.peer == ""; first {
			b.retryAt = now.Add(directRetryInterval)
		}
		b.peer, b.unreachableUntil = peer, time.Time{}
	})
	return first
}

// recordUnreachable records that no node could connect to the address.
func (p *paths) recordUnreachable(address string, now time.Time) {
	p.update(address, now, func(b *path) { b.peer, b.unreachableUntil = "", now.Add(unreachableFor) })
}

func (p *paths) update(address string, now time.Time, change func(*path)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = make(map[string]*path)
	}
	b := p.broken[address]
	if b == nil {
		b = &path{}
		p.broken[address] = b
	}
	b.lastUsed = now
	change(b)
}

// recordDirect records that the address was reached directly.
func (p *paths) recordDirect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.broken, address)
}

// count returns the number of endpoints that are reached through other nodes.
func (p *paths) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.broken {
		if b.peer != "" {
			n++
		}
	}
	return n
}

func (p *paths) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, b := range p.broken {
		if now.Sub(b.lastUsed) > pathRetention {
			delete(p.broken, address)
		}
	}
}
