package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/endpoint"
)

// Ending is the termination of one process of an endpoint. InstanceHash and Domain are 32-bit hashes: two of the few
// instances recorded for a request collide with a probability of about 1 in 10^9.
type Ending struct {
	InstanceHash uint32 // hash of the endpoint id, which differs for each start of its process
	Domain       uint32 // hash of the fabric domain, or of the data centre if there is none; its endpoints can be lost together
	At           time.Time
}

// EndingOf returns the ending of the endpoint's current process, noticed at the given time.
func EndingOf(e *endpoint.Endpoint, at time.Time) Ending {
	domain := "domain/" + e.Domain
	if e.Domain == "" {
		domain = "data centre/" + e.DataCentre
	}
	return Ending{InstanceHash: instanceHash(e), Domain: hash(domain), At: at}
}

// Instance returns the hash of the ended instance as it stands in logs.
func (e Ending) Instance() string { return fmt.Sprintf("%08x", e.InstanceHash) }

// asSeparateIncident returns the ending in a domain of its own, so that it is counted separately. It is used for endpoints
// that received the request after another endpoint had failed it: endpoints lost with their domain end before that.
func (e Ending) asSeparateIncident() Ending {
	e.Domain = e.InstanceHash
	return e
}

func instanceHash(e *endpoint.Endpoint) uint32 { return hash(e.ID) }

func hash(s string) uint32 { return uint32(xxhash.Sum64String(s)) } //nolint:gosec // truncated to 32 bits on purpose

// sameIncidentWindow is the maximum time between endings in one domain that are counted as a common loss, such as that of a
// rack. Nodes exchange the ages of endings, which are inaccurate by some tenths of a second.
const sameIncidentWindow = 500 * time.Millisecond

// countIncidents returns the number of incidents in endings, which are sorted by time. Endings in one domain within
// sameIncidentWindow of the first are one incident.
func countIncidents(endings []Ending) int {
	count := 0
	lastCounted := make(map[uint32]time.Time, len(endings)) // time of the last counted ending, by domain
	for _, e := range endings {
		at, known := lastCounted[e.Domain]
		if known && e.At.Sub(at) < sameIncidentWindow {
			continue
		}
		lastCounted[e.Domain] = e.At
		count++
	}
	return count
}

// maxEndings is the maximum number of endings kept for each request. A request is held back at far fewer; further endings
// determine how long it is held and which endings of other requests it explains.
const maxEndings = 16

// Record is the state of one request, or of one part of a prompt, as nodes exchange it.
type Record struct {
	Fingerprint Fingerprint
	Part        bool          // it is a part of a prompt
	Endings     []Ending      // of endpoints that were running the request
	Answered    bool          // an endpoint has answered it completely, so it does not end every endpoint
	BegunAt     time.Time     // when an answer last began on the part; zero if none is known to have begun
	Hold        time.Duration // remaining time for which it is held back; zero if it is not
	Age         time.Duration // time since the last ending or answer was recorded
}

// HeldMessage returns the log message about the beginning of a hold.
func (r *Record) HeldMessage() string {
	if r.Part {
		return "prompt part is held back"
	}
	return "request is held back"
}
