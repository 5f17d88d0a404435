package httpcall

import "time"

// Options bound one call.
type Options struct {
	// Timeout bounds the whole call, or only the time up to the response's header if Stream is set.
	Timeout time.Duration
	// Endpoint means that the address is that of an endpoint, to which Client.DialEndpoint connects.
	Endpoint bool
	// Fresh dials a new connection. If an idle one was closed by the peer, it would be unclear whether the request has run.
	Fresh bool
	// Stream leaves the body on the connection, to be read with Answer.Read.
	Stream bool
	// MaxBody is the largest body read if Stream is not set, in bytes; 0 means DefaultMaxBody.
	MaxBody int
}

// MaxControlBody is the limit in bytes on an endpoint's answer to what a node itself asks it, such as a report of its state or an order. Many
// endpoints may be asked at a time.
const MaxControlBody = 64 << 10

// DefaultMaxBody is the default limit on responses read into memory, in bytes.
const DefaultMaxBody = 8 << 20
