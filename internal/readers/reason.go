package readers

import "errors"

// Reason is why a caller was cut, as logs and metric labels name it.
type Reason string

const (
	// Stalled means that the caller accepted no byte for the stall bound.
	Stalled Reason = "stalled"
	// Overdue means that the caller still read its answer at the end of its time.
	Overdue Reason = "overdue"
	// Memory means that the caller did not read while the budget was exceeded.
	Memory Reason = "memory"
)

// Reasons are all reasons.
var Reasons = []Reason{Stalled, Overdue, Memory}

// CutReason returns why a write failed with err, or "" if the caller was not cut but has disconnected by itself.
func CutReason(err error) Reason {
	switch {
	case errors.Is(err, ErrStalled):
		return Stalled
	case errors.Is(err, ErrOverdue):
		return Overdue
	case errors.Is(err, ErrMemory):
		return Memory
	default:
		return ""
	}
}
