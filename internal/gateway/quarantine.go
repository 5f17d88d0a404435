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

// heldError means that the request is held back because endpoints have ended while they ran it, or others with a part of its
// prompt.
type heldError struct{ hold *quarantine.Hold }

func (e *heldError) Error() string {
	remaining := e.hold.Remaining.Truncate(time.Millisecond).String()
	if e.hold.PartID != "" {
		return "endpoints have ended under part " + e.hold.PartID + " of the prompt; it is held back for " + remaining
	}
	return "endpoints have ended under this request; it is held back for " + remaining
}

// setSignature computes the fingerprints of the request and of the parts of its prompt.
func (a *activeRequest) setSignature() {
	r := a.request
	c := quarantine.Content{Workspace: a.workspace.Name, Host: r.Host, Method: r.Method, Target: r.Path + "?" + r.Query, Body: r.Body}
	a.signature = quarantine.NewSignature(&c, r.Model, r.PromptParts)
}

// heldBack returns a *heldError if the request must not be sent.
func (a *activeRequest) heldBack() error {
	hold, trial := a.gateway.Quarantine.Check(&a.signature, a.trial, clock.Now())
	if hold != nil {
		return &heldError{hold}
	}
	a.trial = trial
	return nil
}

// refuseHeld refuses a request that is held back and has not run.
func (a *activeRequest) refuseHeld(held *heldError) {
	a.gateway.metrics.heldBack.Inc(1)
	var instances []string
	for _, e := range held.hold.Endings {
		instances = append(instances, e.Instance())
	}
	a.log("held back", false, "fingerprint", held.hold.Fingerprint, "part", held.hold.PartID, "instances", instances)
	a.refuse(Refusal{Reason: NotRun, Detail: held.Error(), RetryAfter: held.hold.Remaining})
}

// reportFailure reports an attempt without a complete answer to the investigator: if its endpoint has ended, that counts against the
// request. begun means that an event of the answer has arrived.
func (a *activeRequest) reportFailure(ctx context.Context, place *picker.Place, err error, begun bool) {
	investigator := a.gateway.Investigator
	failed := quarantine.Attempt{Signature: a.signature, Begun: begun, Resent: a.sends > 1}
	switch {
	case verdict.Of(err) == verdict.NotRun:
		investigator.Refused(place.Endpoint)
	case ctx.Err() != nil, errors.Is(err, errHedged), errors.Is(err, errStalled), errors.Is(err, errOvertaken), errors.Is(err, errCallerGone), errors.Is(err, errHeldBack):
		investigator.Abandoned(place.Endpoint, failed)
	default:
		investigator.Failed(place.Endpoint, failed)
	}
}

// reportAnswered records in the quarantine table that an endpoint has answered the request completely.
func (a *activeRequest) reportAnswered(now time.Time) {
	a.gateway.Quarantine.Answered(a.signature.Request, now)
}
