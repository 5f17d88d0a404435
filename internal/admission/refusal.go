package admission

import (
	"fmt"
	"time"
)

// Refusal is the error for a request that was refused a place; the request has not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // how long to wait before trying again
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s; come back in %s", r.Reason, r.RetryAfter.Round(time.Millisecond))
}
