package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/tunnel"
)

// endCause states what ended an attempt, or an answer to a caller, before it was complete.
type endCause string

const (
	endedByGateway  endCause = "gateway"  // given up here, although the endpoint might still have gone on
	endedByEndpoint endCause = "endpoint" // the endpoint, or the connection to it, failed
	endedByPath     endCause = "path"     // the connection through another node broke
	endedByDeadline endCause = "deadline"
	endedByCaller   endCause = "caller" // the caller has left, or could not be written to
	endedByStop     endCause = "stop"   // this process ends
)

// endCauses lists all causes.
var endCauses = []endCause{endedByGateway, endedByEndpoint, endedByPath, endedByDeadline, endedByCaller, endedByStop}

// endCauseOf returns the cause of err, the error of an attempt of a request with the given context and deadline.
func endCauseOf(ctx context.Context, deadline time.Time, err error) endCause {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return endedByStop
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(err, errCallerGone):
		return endedByCaller
	case ctx.Err() != nil, !clock.Now().Before(deadline):
		return endedByDeadline
	case errors.Is(err, errStalled), errors.Is(err, errHedged), errors.Is(err, errHeldBack):
		return endedByGateway
	case errors.Is(err, tunnel.ErrBroken):
		return endedByPath
	default:
		return endedByEndpoint
	}
}
