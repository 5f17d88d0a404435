// Package window counts events in a sliding window of time.
package window

import "time"

// slices divide a window; the oldest is dropped as a whole.
const slices = 20

// Counter counts what happened within the last span of time.
type Counter struct {
	start  time.Time // slices count from then on the steady clock
	length time.Duration
	slice  int64
	counts [slices]int
}

// NewCounter returns a Counter of that span; no time before start will be asked for.
func NewCounter(span time.Duration, start time.Time) *Counter {
	return &Counter{start: start, length: span / slices}
}

// Covered returns how much of a span is certainly counted at any time.
func Covered(span time.Duration) time.Duration { return span - span/slices }

// Add counts one event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.counts[c.slice%slices]++
}

// Sum returns how many events were counted in the window.
func (c *Counter) Sum(now time.Time) int {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance drops what has left the window.
func (c *Counter) advance(now time.Time) {
	slice := int64(now.Sub(c.start) / c.length)
	for at := max(c.slice+1, slice-slices+1); at <= slice; at++ {
		c.counts[at%slices] = 0
	}
	c.slice = max(c.slice, slice)
}
