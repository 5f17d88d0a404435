package gateway

import "time"

// Reply is the answer of an endpoint while it arrives.
type Reply interface {
	// Head waits for the head of the answer until the given time. It returns ErrNotYet if none has arrived by then, and may be
	// called again. Any other error is a *verdict.Error; the Head returned with it holds the endpoint's announcements if an
	// answer has arrived.
	Head(until time.Time) (Head, error)
	// Body reads the complete body of an answer that is not a stream.
	Body(until time.Time) ([]byte, error)
	// Next waits for the next event until the given time. It returns ErrNotYet as Head does, and io.EOF after the last event.
	Next(until time.Time) (Event, error)
	// Close releases the reply and cancels the request if it is still running at the endpoint.
	Close()
}

// Event is one complete event of a stream.
type Event struct {
	ID  string
	Raw []byte // including the empty line that ends it; valid until the next call of Next
}
