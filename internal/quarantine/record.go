package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Ending is the end of one life of an endpoint. Life and Domain are four bytes of a hash each: that two lives of the few
// under one request are taken for one happens once in some 10^9.
type Ending struct {
	Life   uint32
	Domain uint32 // what is lost together with it: its fabric domain, or its data centre if it is in none
	At     time.Time
}

// EndingOf returns the ending of that life of the endpoint, noticed at that instant.
func EndingOf(e *endpoint.Endpoint, at time.Time) Ending {
	domain := "domain/" + e.Domain
	if e.Domain == "" {
		domain = "data centre/" + e.Zone
	}
	return Ending{Life: lifeOf(e), Domain: hash(domain), At: at}
}

// apart returns the ending as an incident of its own: of an endpoint to which the request was sent after another one had
// failed it. What is lost together is lost before that.
func (e Ending) apart() Ending {
	e.Domain = e.Life
	return e
}

func lifeOf(e *endpoint.Endpoint) uint32 { return hash(e.ID) }

func hash(s string) uint32 { return uint32(xxhash.Sum64String(s)) } //nolint:gosec // four bytes are wanted

// together is within what endpoints of one domain end that are lost together, such as those of a rack. Endings are told with
// an age that is some tenths of a second off.
const together = 500 * time.Millisecond

// incidents counts endings, and those of one domain at about the same time as one. They are in order of time.
func incidents(endings []Ending) int {
	count := 0
	last := make(map[uint32]time.Time, len(endings)) // that was counted, by domain
	for _, e := range endings {
		at, known := last[e.Domain]
		if known && e.At.Sub(at) < together {
			continue
		}
		last[e.Domain] = e.At
		count++
	}
	return count
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
