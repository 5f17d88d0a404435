package admission

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that gets no place; it has not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // when to come back
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s; come back in %s", r.Reason, r.RetryAfter.Round(time.Millisecond))
}
