package lenient

import "encoding/json"

// Elements decodes the parts of a list and skips those that are malformed or have no name: without one they can be neither used nor
// reported as missing.
func Elements[T any](parts []json.RawMessage, name func(*T) string) []T {
	var out []T
	for _, part := range parts {
		var v T
		if json.Unmarshal(part, &v) == nil && name(&v) != "" {
			out = append(out, v)
		}
	}
	return out
}
