// Package window counts events, and keeps the highest value, in a sliding time window.
package window

import "time"

// sliceCount is the number of slices of a window; events leave the window one slice at a time.
const sliceCount = 20

// Counter counts the events in a sliding window of fixed length.
type Counter struct {
	start       time.Time // start of slice 0, a time from package clock
	sliceLength time.Duration
	current     int64
	counts      [sliceCount]int
}

// NewCounter returns a Counter whose window has length span. Times passed to its methods must not be before start.
func NewCounter(span time.Duration, start time.Time) *Counter {
	return &Counter{start: start, sliceLength: span / sliceCount}
}

// Covered returns the part of a window of length span that is always counted; the oldest slice may already be dropped.
func Covered(span time.Duration) time.Duration { return span - span/sliceCount }

// Add counts one event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.counts[c.current%sliceCount]++
}

// Remove takes back an event that was added at the given time, if it still counts at now.
func (c *Counter) Remove(added, now time.Time) {
	c.advance(now)
	slice := int64(added.Sub(c.start) / c.sliceLength)
	if slice > c.current-sliceCount && c.counts[slice%sliceCount] > 0 {
		c.counts[slice%sliceCount]--
	}
}

// Sum returns the number of events in the window that ends at now.
func (c *Counter) Sum(now time.Time) int {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance drops the slices that have left the window.
func (c *Counter) advance(now time.Time) {
	slice := int64(now.Sub(c.start) / c.sliceLength)
	for i := max(c.current+1, slice-sliceCount+1); i <= slice; i++ {
		c.counts[i%sliceCount] = 0
	}
	c.current = max(c.current, slice)
}
