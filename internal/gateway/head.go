package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/ratelimit"
)

// Head is the status of an answer and what the endpoint announces in its headers.
type Head struct {
	Status     int             // HTTP status; zero if no answer has arrived
	NotRun     bool            // the endpoint states that it did not and will not run the request
	RetryAfter time.Duration   // zero if the endpoint sent none
	Leaving    bool            // the endpoint announces that it is about to leave
	Events     bool            // the answer is a stream of events
	Limit      ratelimit.Limit // rate limit that the endpoint announces
}

// OK reports whether the status is 2xx.
func (h Head) OK() bool { return h.Status >= 200 && h.Status < 300 }
