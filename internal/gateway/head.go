package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/ratelimit"
)

// Head is the beginning of an answer.
type Head struct {
	Status     int
	NotRun     bool            // the endpoint says that it did not and will not run the request
	RetryAfter time.Duration   // of a refusal; zero if there is none
	Leaving    bool            // the endpoint says that it is about to leave
	Events     bool            // the answer is a stream of events
	Limit      ratelimit.Limit // that the endpoint names
}

// OK reports whether the status is a success.
func (h Head) OK() bool { return h.Status >= 200 && h.Status < 300 }
