// Package readers decides when a caller that does not read its answer is cut. It does no I/O and takes the time as an argument.
package readers

import (
	"errors"
	"time"
)

// ErrStalled is the error of a write to a caller that was cut because it accepted no byte for the bound.
var ErrStalled = errors.New("the caller has read nothing for the stall bound and is cut")

// ErrOverdue is the error of a write to a caller that was cut because it still read its answer at the end of its time.
var ErrOverdue = errors.New("the caller has not read its answer within its time and is cut")

// parts is the number of equal parts of the stall time in which the bound and the interval of checks are expressed.
const parts = 16

// Stall decides when a caller that accepts nothing is cut. An endpoint aborts a response that is not read for its stall time;
// the node that passes the response on stops reading it while its own caller accepts nothing. A caller is cut at the
// latest half of the stall time after the last byte, so that the endpoint is relieved well before it would abort.
type Stall struct {
	// Bound is how long a caller may accept nothing: 7/16 of the stall time.
	Bound time.Duration
	// Interval is the time between two checks of a blocked write: 1/16 of the stall time. Together with the bound this is
	// half of the stall time, which is therefore the longest time from the last byte to the cut.
	Interval time.Duration
}

// NewStall returns the Stall for endpoints with the given stall time, which must be positive.
func NewStall(stall time.Duration) Stall {
	return Stall{Bound: stall * (parts/2 - 1) / parts, Interval: stall / parts}
}

// Write is one write to a caller. Everything written before it has been accepted, so a stall begins with it at the earliest.
type Write struct {
	stall    Stall
	end      time.Time // zero if the write has no end
	progress time.Time // when the connection was last found to have accepted bytes, or the start of the write
}

// Begin begins a write at now that is cut at end even if the caller reads. A zero end is none.
func (s Stall) Begin(end, now time.Time) Write { return Write{stall: s, end: end, progress: now} }

// Accepted records that the connection has accepted bytes since the last check.
func (w *Write) Accepted(now time.Time) { w.progress = now }

// Check returns how long to wait for the connection before the next check, or the error with which the caller is cut.
func (w *Write) Check(now time.Time) (time.Duration, error) {
	if now.Sub(w.progress) >= w.stall.Bound {
		return 0, ErrStalled
	}
	if w.end.IsZero() {
		return w.stall.Interval, nil
	}
	left := w.end.Sub(now)
	if left <= 0 {
		return 0, ErrOverdue
	}
	return min(left, w.stall.Interval), nil
}

// Progress returns when the caller was last found to have accepted bytes.
func (w *Write) Progress() time.Time { return w.progress }
