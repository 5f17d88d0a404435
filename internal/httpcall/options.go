package httpcall

import "time"

// Options bound one call.
type Options struct {
	// Timeout bounds the whole call, or only the wait for the answer's header when Stream is set.
	Timeout time.Duration
	// Fresh dials a new connection, so that an idle connection closed by the peer cannot blur the verdict.
	Fresh bool
	// Stream leaves the body on the connection, to be read from Answer.Body.
	Stream bool
	// MaxBody is the largest body read when Stream is not set, in bytes; 0 means DefaultMaxBody.
	MaxBody int
}

// DefaultMaxBody is the largest answer read into memory, in bytes.
const DefaultMaxBody = 8 << 20
