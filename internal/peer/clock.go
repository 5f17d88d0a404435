package peer

import "time"

const clockSize = 256

// clock bounds the age of what the other side says. Each side numbers its messages and echoes the last
// number it saw; a message that echoes n was made after n was sent, so everything in it is counted from
// that instant. A message that lay in a buffer while a process was paused is thus never taken for fresh.
type clock struct {
	tick   uint64
	sentAt [clockSize]time.Time
}

// next returns the number of the message about to be sent at now.
func (c *clock) next(now time.Time) uint64 {
	c.tick++
	c.sentAt[c.tick%clockSize] = now
	return c.tick
}

// asOf returns an instant that is not after the making of a message with that echo.
func (c *clock) asOf(echo uint64) (time.Time, bool) {
	if echo == 0 || echo > c.tick || c.tick-echo >= clockSize {
		return time.Time{}, false
	}
	return c.sentAt[echo%clockSize], true
}
