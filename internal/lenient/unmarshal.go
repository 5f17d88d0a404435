// Package lenient decodes JSON documents that hold values of writers other than the one that made the document. What cannot be read
// in one value does not hide the others.
package lenient

import (
	"encoding/json"
	"errors"
)

// maxDepth is how deep the values of a document may be nested that is not well-formed otherwise. Documents that this package is used
// for have some ten levels.
const maxDepth = 64

// unreadable replaces a value that cannot be read. Only a flag can be decoded from it, so that it is taken for no number, name, list
// or object.
const unreadable = "false"

// Unmarshal is like json.Unmarshal, but of a document that is not well-formed it replaces the values that are nested too deeply, and
// the literals and strings that JSON does not have, such as NaN. It returns an error if the document is malformed in another way,
// for example cut off.
func Unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var malformed *json.SyntaxError
	if !errors.As(err, &malformed) {
		return err
	}
	return json.Unmarshal(repair(text), into)
}

// repair replaces the unreadable values of a document.
func repair(text []byte) []byte {
	out := make([]byte, 0, len(text))
	depth := 0
	for at := 0; at < len(text); {
		next := at + tokenLength(text[at:])
		token := text[at:next]
		at = next
		switch token[0] {
		case '[', '{':
			depth++
			if depth == maxDepth+1 {
				out = append(out, unreadable...)
			}
		case ']', '}':
			depth--
			if depth == maxDepth {
				continue // ends the value that was replaced
			}
		case ',', ':', ' ', '\t', '\r', '\n':
		case '"':
			token = replaceInvalid(token, `""`)
		default:
			token = replaceInvalid(token, unreadable)
		}
		if depth <= maxDepth {
			out = append(out, token...)
		}
	}
	return out
}

// replaceInvalid returns the token, or the replacement if the token is no JSON value.
func replaceInvalid(token []byte, replacement string) []byte {
	if json.Valid(token) {
		return token
	}
	return []byte(replacement)
}

// tokenLength returns the length of the first token of the text: a string, a literal or a single character.
func tokenLength(text []byte) int {
	if text[0] == '"' {
		return stringLength(text)
	}
	for i, c := range text {
		switch c {
		case '[', ']', '{', '}', ',', ':', '"', ' ', '\t', '\r', '\n':
			return max(i, 1)
		}
	}
	return len(text)
}

// stringLength returns the length of the string that the text begins with, up to its closing quote or the end of the text.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}
