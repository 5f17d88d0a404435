package standin

import (
	"slices"
	"sync"
	"sync/atomic"
)

// prefixBytes is how much of a prompt the stand-in's cache knows it by.
const prefixBytes = 16

// PrefixCache holds the prompts' beginnings an engine has worked on last.
type PrefixCache struct {
	Hits   atomic.Int64
	Misses atomic.Int64

	mu   sync.Mutex
	held []string // the latest last
}

// Touch reports whether the prompt's beginning was held, and holds it.
func (c *PrefixCache) Touch(prompt string, size int) bool {
	key := prompt[:min(prefixBytes, len(prompt))]
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.held, key)
	if i >= 0 {
		c.held = append(slices.Delete(c.held, i, i+1), key)
		c.Hits.Add(1)
		return true
	}
	c.Misses.Add(1)
	c.held = append(c.held, key)
	if len(c.held) > size {
		c.held = c.held[1:]
	}
	return false
}
