package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint    *endpoint.Endpoint
	Remaining   time.Duration // until nobody waits for the answer any more
	Workspace   *route.Workspace
	Priority    int
	ResumeAfter string // ID of the last event that has been passed on
	Once        bool   // the request may run at most once
	Stream      bool   // the answer is read event by event
}
