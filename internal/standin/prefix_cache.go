package standin

import (
	"slices"
	"sync"
	"sync/atomic"
)

// prefixBytes is the length of the prompt prefix that serves as cache key.
const prefixBytes = 16

// PrefixCache is an LRU cache of prompt prefixes, as engines keep to shorten the prefill.
type PrefixCache struct {
	Hits   atomic.Int64
	Misses atomic.Int64

	mu      sync.Mutex
	entries []string // least recently used first
}

// Touch reports whether the prompt's prefix was cached and makes it the most recently used; size is the capacity.
func (c *PrefixCache) Touch(prompt string, size int) bool {
	key := prompt[:min(prefixBytes, len(prompt))]
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.entries, key)
	if i >= 0 {
		c.entries = append(slices.Delete(c.entries, i, i+1), key)
		c.Hits.Add(1)
		return true
	}
	c.Misses.Add(1)
	c.entries = append(c.entries, key)
	if len(c.entries) > size {
		c.entries = c.entries[1:]
	}
	return false
}
