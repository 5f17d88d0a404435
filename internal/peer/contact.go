package peer

import (
	"sync"
	"time"
)

// Contact records the latest time at which the platform or another node is known to have been alive.
type Contact struct {
	mu   sync.Mutex
	last time.Time
}

// RecordAlive records that the other side was alive at the given time. Earlier times than the latest are ignored.
func (c *Contact) RecordAlive(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.last) {
		c.last = at
	}
}

// Last returns the latest recorded time, or the zero time if there is none.
func (c *Contact) Last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}
