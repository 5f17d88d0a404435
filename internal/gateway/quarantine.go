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

// heldError means that the request is held back for the remaining time because endpoints have ended while they ran it.
type heldError struct{ remaining time.Duration }

func (e *heldError) Error() string {
	return "endpoints have ended under this request; it is held back for " + e.remaining.Truncate(time.Second).String()
}

// setFingerprint computes the request's fingerprint.
func (a *activeRequest) setFingerprint() {
	r := a.request
	c := quarantine.Content{Workspace: a.workspace.Name, Host: r.Host, Method: r.Method, Target: r.Path + "?" + r.Query, Body: r.Body}
	a.fingerprint = c.Fingerprint()
}

// heldBack returns a *heldError if the request must not be sent.
func (a *activeRequest) heldBack() error {
	if left, held := a.gateway.Quarantine.Held(a.fingerprint, clock.Now()); held {
		return &heldError{left}
	}
	return nil
}

// reportFailure reports an attempt without a complete answer to the investigator: if its endpoint has ended, that counts against the
// request. begun means that an event of the answer has arrived.
func (a *activeRequest) reportFailure(ctx context.Context, place *picker.Place, err error, begun bool) {
	investigator := a.gateway.Investigator
	failed := quarantine.Attempt{Request: a.fingerprint, PromptParts: a.request.PromptParts, Begun: begun, Resent: a.sends > 1}
	switch {
	case verdict.Of(err) == verdict.NotRun:
		investigator.Refused(place.Endpoint)
	case ctx.Err() != nil, errors.Is(err, errHedged), errors.Is(err, errStalled), errors.Is(err, errCallerGone):
		investigator.Abandoned(place.Endpoint, failed)
	default:
		investigator.Failed(place.Endpoint, failed)
	}
}

// reportAnswered records in the quarantine table that an endpoint has answered the request completely.
func (a *activeRequest) reportAnswered(now time.Time) {
	a.gateway.Quarantine.Answered(a.fingerprint, now)
}
