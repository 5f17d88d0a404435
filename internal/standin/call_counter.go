package standin

import (
	"sync"
	"time"
)

// CallCounter counts the reads and writes of the object API per second.
type CallCounter struct {
	started time.Time
	mu      sync.Mutex
	reads   map[int]int
	writes  map[int]int
}

// NewCallCounter returns a counter whose seconds are numbered from now.
func NewCallCounter() *CallCounter {
	return &CallCounter{started: time.Now(), reads: make(map[int]int), writes: make(map[int]int)}
}

// Add counts one call in the current second.
func (c *CallCounter) Add(write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int(time.Since(c.started) / time.Second)
	if write {
		c.writes[second]++
	} else {
		c.reads[second]++
	}
}

// Since returns the number of calls from the second of at on, and the maximum within one second.
func (c *CallCounter) Since(at time.Time) (reads, writes, maxReads, maxWrites int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := int(at.Sub(c.started) / time.Second)
	for second, n := range c.reads {
		if second >= from {
			reads += n
			maxReads = max(maxReads, n)
		}
	}
	for second, n := range c.writes {
		if second >= from {
			writes += n
			maxWrites = max(maxWrites, n)
		}
	}
	return reads, writes, maxReads, maxWrites
}
