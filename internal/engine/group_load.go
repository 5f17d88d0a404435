package engine

import "time"

// GroupLoad is the work that a replica group has at one moment.
type GroupLoad struct {
	Running       int     // requests that have been sent there and have not ended
	UnreadTokens  float64 // prompt tokens of those requests whose first event has not arrived
	UnreadSquares float64 // sum of the squares of the lengths of these prompts, in tokens
}

// FirstEventAt returns the time from the send to the first event of a prompt of the given length in tokens, at a group with
// the given load; 0 without figures.
//
// All unread prompts count as read before the end of the pass that reads the new one. Some of them are already partly read, but
// prompts that arrive before that pass begins are read in it too; at a steady rate of arrivals the two balance, and the result
// is that of FirstEvent.
func (m *Model) FirstEventAt(load GroupLoad, promptTokens float64) time.Duration {
	if !m.Figures.Known() {
		return 0
	}
	seconds := m.waitForSlot(load)
	if load.Running > 0 {
		seconds += m.writeAt(load.Running) / 2 // mean remainder of the pass under way
	}
	seconds += m.readUnread(load) + m.pace()*m.Figures.Read(promptTokens) + m.writeAt(load.Running+1)
	return time.Duration(seconds * float64(time.Second))
}

// GapAt returns the time between two events of a request at a group with the given load, while the unread prompts are read; 0
// without figures. It is the length of a pass that reads all of them, which is the longest possible.
func (m *Model) GapAt(load GroupLoad) time.Duration {
	if !m.Figures.Known() {
		return 0
	}
	return time.Duration(m.passAt(load) * float64(time.Second))
}

// passAt returns the length in seconds of a pass that reads all unread prompts and writes all requests.
func (m *Model) passAt(load GroupLoad) float64 {
	return m.writeAt(load.Running) + m.readUnread(load)
}

// writeAt returns the time in seconds of the writing steps of a pass at a group that runs the given number of requests.
func (m *Model) writeAt(running int) float64 {
	if m.Slots > 0 {
		running = min(running, m.Slots)
	}
	return m.pace() * m.Figures.Write(float64(running), m.Context)
}

// readUnread returns the time in seconds to read the unread prompts.
func (m *Model) readUnread(load GroupLoad) float64 {
	return m.pace() * m.Figures.readAll(load.UnreadTokens, load.UnreadSquares)
}

// waitForSlot returns the time in seconds until enough of the running requests have ended for a new one to be read. Of Slots
// requests that take Passes passes each, Slots/Passes end in a mean pass. Requests end with a pass, so that without Passes
// one end per pass is assumed.
func (m *Model) waitForSlot(load GroupLoad) float64 {
	if m.Slots <= 0 || load.Running < m.Slots {
		return 0
	}
	passesPerEnd := 1.0
	if m.Passes > 0 {
		passesPerEnd = m.Passes / float64(m.Slots)
	}
	return float64(load.Running-m.Slots+1) * passesPerEnd * m.writeAt(load.Running)
}
