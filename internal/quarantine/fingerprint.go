// Package quarantine detects requests that terminate every endpoint that begins to run them, and holds them back.
//
// The termination of one process of an endpoint is called an ending. Callers retry a failed request as a new attempt at any
// node, so no single node sees all attempts. Each node records which requests were running at an endpoint when it ended, and
// the nodes exchange these records. A request under which several endpoints have ended is not sent to any endpoint until its
// hold expires.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies all requests of one workspace that have the same content. Attempt ids, deadlines and the id of the
// last event received by the caller are excluded, because they differ between attempts. Two different contents of a
// workspace collide with a probability of 1 in 2^64.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits, the form used in logs and in the object store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content holds the parts of a request that are the same in every attempt.
type Content struct {
	Workspace string
	Host      string
	Method    string
	Target    string // path and query
	Body      []byte
}

// Fingerprint returns a hash of all fields.
func (c *Content) Fingerprint() Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.Workspace, c.Host, c.Method, c.Target} {
		_, _ = h.WriteString(part) // a hash never returns an error
		_, _ = h.Write([]byte{0})  // separator, so that adjacent fields cannot be confused
	}
	_, _ = h.Write(c.Body)
	return Fingerprint(h.Sum64())
}

// MarshalText returns the text of String, for log values that list several fingerprints.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
