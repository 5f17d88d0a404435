package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/verdict"
)

// heldError means that the request is held back because endpoints have ended under it.
type heldError struct{ left time.Duration }

func (e *heldError) Error() string {
	return "endpoints have ended under this request; it is held back for " + e.left.Truncate(time.Second).String()
}

// identify works out the request's fingerprint.
func (f *flight) identify() {
	r := f.request
	c := quarantine.Content{Workspace: f.workspace.Name, Host: r.Host, Method: r.Method, Target: r.Path + "?" + r.Query, Body: r.Body}
	f.fingerprint = c.Fingerprint()
}

// heldBack returns a heldError if the request must not be sent.
func (f *flight) heldBack() error {
	if left, held := f.gateway.Quarantine.Held(f.fingerprint, clock.Now()); held {
		return &heldError{left}
	}
	return nil
}

// suspect tells of a sending that got no whole answer: if its endpoint has ended, that counts against the request.
func (f *flight) suspect(ctx context.Context, place *picker.Place, err error) {
	inquiry := f.gateway.Inquiry
	switch {
	case verdict.Of(err) == verdict.NotRun:
		inquiry.Refused(place.Endpoint)
	case ctx.Err() != nil, errors.Is(err, errHedged), errors.Is(err, errStandsStill), errors.Is(err, errCaller):
		inquiry.Left(place.Endpoint, f.fingerprint)
	default:
		inquiry.Failed(place.Endpoint, f.fingerprint, f.sends > 1)
	}
}

// cleared tells that an endpoint has answered the request whole.
func (f *flight) cleared(now time.Time) { f.gateway.Quarantine.Answered(f.fingerprint, now) }
