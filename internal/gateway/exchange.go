package gateway

import (
	"context"
)

// Exchange sends one caller's request to endpoints and passes the answer back to the caller.
type Exchange interface {
	// Send sends the request and returns without waiting for the answer. The error is a *verdict.Error.
	Send(ctx context.Context, a Attempt) (Reply, error)
	// Whole passes on a complete answer that is not a stream.
	Whole(r Reply, body []byte) error
	// Begin passes on the head of an answer whose events follow.
	Begin(r Reply) error
	// Event passes one event on.
	Event(e Event) error
	// Refuse answers the caller with a refusal of the gateway itself.
	Refuse(r Refusal)
	// Abort cuts the answer off so that the caller can tell that it is incomplete.
	Abort()
}
