package gateway

import (
	"context"
)

// Exchange sends one caller's request to endpoints and passes the answer back to the caller.
type Exchange interface {
	// Send sends the request and returns without waiting for the answer. The error is a *verdict.Error. When ctx ends, what waits for
	// the reply returns an error. Send may be called while an earlier attempt still runs.
	Send(ctx context.Context, a Attempt) (Reply, error)
	// WriteAnswer passes on a complete answer that is not a stream.
	WriteAnswer(r Reply, body []byte) error
	// BeginStream passes on the head of an answer whose events follow.
	BeginStream(r Reply) error
	// WriteEvent passes one event on.
	WriteEvent(e Event) error
	// Refuse answers the caller with a refusal of the gateway itself.
	Refuse(r Refusal)
	// Abort cuts the answer off so that the caller can detect that it is incomplete.
	Abort()
}
