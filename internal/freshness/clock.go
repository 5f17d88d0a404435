// Package freshness bounds the age of what another process says without comparing clocks.
package freshness

import "time"

const clockSize = 256

// Clock bounds the age of what the other side says. Each side numbers its messages and echoes the last
// number it saw; a message that echoes n was made after n was sent, so everything in it is counted from
// that instant. A message that lay in a buffer while a process was paused is thus never taken for fresh.
type Clock struct {
	tick   uint64
	sentAt [clockSize]time.Time
}

// Next returns the number of the message about to be sent at now.
func (c *Clock) Next(now time.Time) uint64 {
	c.tick++
	c.sentAt[c.tick%clockSize] = now
	return c.tick
}

// AsOf returns an instant that is not after the making of a message with that echo.
func (c *Clock) AsOf(echo uint64) (time.Time, bool) {
	if echo == 0 || echo > c.tick || c.tick-echo >= clockSize {
		return time.Time{}, false
	}
	return c.sentAt[echo%clockSize], true
}
