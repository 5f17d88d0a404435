// Package freshness bounds the age of messages from another process without comparing the clocks of the two.
package freshness

import "time"

// clockSize is how many of the latest send times a Clock keeps. An echo of an older message is not accepted.
const clockSize = 256

// Clock bounds the age of messages from one remote process. Each side numbers its messages and echoes the last
// number that it received. A message that echoes n was created after n was sent, so its content is treated as
// being as old as the sending of n. A message that was buffered while a process was paused is therefore never
// taken for fresh.
type Clock struct {
	tick   uint64
	sentAt [clockSize]time.Time
}

// Next returns the number for the next message and records now as its send time.
func (c *Clock) Next(now time.Time) uint64 {
	c.tick++
	c.sentAt[c.tick%clockSize] = now
	return c.tick
}

// AsOf returns a time no later than the creation of a message that carries the given echo: when the echoed message was
// sent. It returns false if the echo is 0, was never sent, or is no longer among the last clockSize messages.
func (c *Clock) AsOf(echo uint64) (time.Time, bool) {
	if echo == 0 || echo > c.tick || c.tick-echo >= clockSize {
		return time.Time{}, false
	}
	return c.sentAt[echo%clockSize], true
}
