package gateway

import "time"

// Reply is the answer of an endpoint while it arrives.
type Reply interface {
	// Head waits until the given time for the head of the answer, and for the whole of one that is no stream of events. It returns
	// ErrNotYet if that has not arrived by then, and may be called again. Any other error is a *verdict.Error; the Head returned with it holds the endpoint's announcements if an
	// answer has arrived.
	Head(until time.Time) (Head, error)
	// Body returns the complete body of an answer that is no stream of events; it may wait for it until the given time.
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
