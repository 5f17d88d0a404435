package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Attempt holds what is needed to send a request to an endpoint once.
type Attempt struct {
	Endpoint    *endpoint.Endpoint
	Remaining   time.Duration // until the request's deadline
	Workspace   *route.Workspace
	Priority    int
	ResumeAfter string // ID of the last event passed on to the caller; empty to begin at the first
	Once        bool   // the request may run at most once
	Stream      bool   // the answer is read event by event
}
