package gateway

import (
	"context"
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Request is what the gateway needs to know of a caller's request.
type Request struct {
	ID          string
	Host        string
	Path        string
	Credential  string
	Model       string
	ResumeAfter string // ID of the last event that the caller has
	Received    time.Time
	Patience    time.Duration // that the caller will wait; zero if it did not say
}

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

// Event is one whole event of a stream.
type Event struct {
	ID  string
	Raw []byte // with the empty line that ends it; valid until the next call
}

// Reply is the answer of an endpoint while it arrives.
type Reply interface {
	// Head waits for the status until then; ErrNotYet means that nothing has come by then, and Head may be
	// called again. Other errors are *verdict.Error.
	Head(until time.Time) (Head, error)
	// Body reads a whole answer that is not a stream.
	Body(until time.Time) ([]byte, error)
	// Next waits for the next event until then, with ErrNotYet as in Head, and io.EOF after the last.
	Next(until time.Time) (Event, error)
	// Close ends the reply; what is still running at the endpoint is given up.
	Close()
}

// Head is the beginning of an answer.
type Head struct {
	Status  int
	NotRun  bool // the endpoint says that it did not and will not run the request
	Leaving bool // the endpoint says that it will not take another request
	Events  bool // the answer is a stream of events
}

// OK reports whether the status is a success.
func (h Head) OK() bool { return h.Status >= 200 && h.Status < 300 }
