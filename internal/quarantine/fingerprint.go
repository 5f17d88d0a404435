// Package quarantine finds the requests that end every endpoint which begins to run them, and holds them back.
//
// A caller's request comes again as a new attempt, at any node, so a node alone cannot know. Each node notes which requests
// were running at an endpoint that has ended; the nodes tell each other, and a request under which several endpoints have
// ended is sent to none until its time is up.
package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint stands for all requests with the same content of the same workspace. Attempt ids, deadlines and the last
// event that the caller has differ from attempt to attempt and are no part of it. Two contents of one workspace have the
// same one by chance once in 2^64.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs and in the store: 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content is what two attempts have in common that ask for the same.
type Content struct {
	Workspace string
	Host      string
	Method    string
	Target    string // path and query
	Body      []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	h := xxhash.New()
	for _, part := range []string{c.Workspace, c.Host, c.Method, c.Target} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})  // no part runs into the next one
	}
	_, _ = h.Write(c.Body)
	return Fingerprint(h.Sum64())
}

// MarshalText returns what String does, for logs that list several.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
