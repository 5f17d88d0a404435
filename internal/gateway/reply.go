package gateway

import "time"

// Reply is the answer of an endpoint while it arrives.
type Reply interface {
	// Head waits for the status until then; ErrNotYet means that nothing has come by then, and Head may be
	// called again. Other errors are *verdict.Error; the Head beside one holds what the endpoint says of itself, if an answer
	// has come.
	Head(until time.Time) (Head, error)
	// Body reads a whole answer that is not a stream.
	Body(until time.Time) ([]byte, error)
	// Next waits for the next event until then, with ErrNotYet as in Head, and io.EOF after the last.
	Next(until time.Time) (Event, error)
	// Close ends the reply; what is still running at the endpoint is given up.
	Close()
}

// Event is one whole event of a stream.
type Event struct {
	ID  string
	Raw []byte // with the empty line that ends it; valid until the next call
}
