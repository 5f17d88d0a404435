package peer

import (
	"sync"
	"time"
)

// Contact remembers when the node last certainly heard the platform or another node.
type Contact struct {
	mu   sync.Mutex
	last time.Time
}

// Heard notes that the other side was alive at that instant.
func (c *Contact) Heard(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.last) {
		c.last = at
	}
}

// Last returns the latest such instant.
func (c *Contact) Last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}
