package gateway

import (
	"context"
)

// Exchange is one caller's request and the way its answer goes back.
type Exchange interface {
	// Send sends the request and returns without waiting for the answer. The error is a *verdict.Error.
	Send(ctx context.Context, a Attempt) (Reply, error)
	// Whole passes a whole answer on.
	Whole(r Reply, body []byte) error
	// Begin passes on the head of an answer whose events follow.
	Begin(r Reply) error
	// Event passes one event on.
	Event(e Event) error
	// Refuse answers for the system itself.
	Refuse(r Refusal)
	// Abort breaks the answer off, so that the caller cannot take it for whole.
	Abort()
}
