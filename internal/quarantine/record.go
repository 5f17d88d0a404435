package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Ending stands for the end of one life of an endpoint, by four bytes of a hash. That two endings of the few under one
// request are taken for one happens once in some 10^9.
type Ending uint32

// EndingOf returns the ending of that life of the endpoint.
func EndingOf(e *endpoint.Endpoint) Ending {
	return Ending(xxhash.Sum64String(e.ID)) //nolint:gosec // four bytes are wanted
}

// maxEndings bounds the endings kept of one request. It is held back long before; more of them say for how long, and which
// endings it explains.
const maxEndings = 16

// Record is what nodes tell each other of one request.
type Record struct {
	Fingerprint Fingerprint
	Endings     []Ending      // of endpoints that were running it
	Answered    bool          // an endpoint has answered it whole, so it is not one that ends each endpoint
	Hold        time.Duration // that is left of its being held back; zero if it is not
	Age         time.Duration // since the last ending or answer was noted
}
