package estate

import (
	"encoding/base64"
	"encoding/json"
	"regexp"
)

// Spec is the content of an object. It is sent as it is, even if it is no JSON.
type Spec []byte

// encodedSpec matches what a Spec is encoded as until insertSpecs replaces it.
var encodedSpec = regexp.MustCompile(`"spec:([A-Za-z0-9+/=]*)"`)

// MarshalJSON implements json.Marshaler.
func (s Spec) MarshalJSON() ([]byte, error) {
	if json.Valid(s) {
		return s, nil
	}
	return []byte(`"spec:` + base64.StdEncoding.EncodeToString(s) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Spec) UnmarshalJSON(text []byte) error {
	*s = append(Spec(nil), text...)
	return nil
}

// insertSpecs returns the text of a response with all its specs.
func insertSpecs(text []byte) []byte {
	return encodedSpec.ReplaceAllFunc(text, func(match []byte) []byte {
		spec, err := base64.StdEncoding.DecodeString(string(encodedSpec.FindSubmatch(match)[1]))
		if err != nil {
			return match
		}
		return spec
	})
}
