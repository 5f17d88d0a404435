package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Signature identifies what a request has in common with others: its whole content, and the parts of its prompt.
type Signature struct {
	Request     Fingerprint   // of the whole request
	PromptParts []string      // IDs of the parts of the prompt, in order
	Parts       []Fingerprint // scopesPerPart for each part
}

// scopesPerPart is the number of fingerprints of one part: of the part wherever it occurs, of the part in prompts for the
// model, and of the part in prompts of the workspace. A part may end the endpoints of one model only. Callers name the
// parts themselves, so what one workspace does with a part must not decide alone what others may do with it.
const scopesPerPart = 3

// NewSignature returns the signature of a request for a model.
func NewSignature(c *Content, model string, promptParts []string) Signature {
	s := Signature{Request: c.Fingerprint(), PromptParts: promptParts}
	for _, part := range promptParts {
		s.Parts = append(s.Parts, partFingerprint(part, "", ""), partFingerprint(part, "model", model), partFingerprint(part, "workspace", c.Workspace))
	}
	return s
}

// partFingerprint returns the fingerprint of a part within a scope; both texts of the scope are empty if it is not limited.
func partFingerprint(part, scope, name string) Fingerprint {
	h := xxhash.New()
	for _, text := range []string{"part", part, scope, name} {
		_, _ = h.WriteString(strconv.Itoa(len(text)) + ":" + text) // a hash never returns an error
	}
	return Fingerprint(h.Sum64())
}

// all returns the fingerprints of the request and of the parts.
func (s *Signature) all() []Fingerprint { return append([]Fingerprint{s.Request}, s.Parts...) }

// partID returns the ID of the part with the fingerprint, or an empty string if it is that of the whole request.
func (s *Signature) partID(f Fingerprint) string {
	if i := slices.Index(s.Parts, f); i >= 0 {
		return s.PromptParts[i/scopesPerPart]
	}
	return ""
}
