// Package verdict classifies requests by whether they may have run at an endpoint.
package verdict

import "errors"

// Verdict states whether a request has run, as far as is known.
type Verdict uint8

// The verdicts. The zero value is invalid, so that a verdict that was never set is noticed.
const (
	// NotRun means no endpoint has received the request and none will run it.
	NotRun Verdict = iota + 1
	// Ran means an endpoint ran the request and its outcome is known.
	Ran
	// MayHaveRun means bytes of the request may have reached an endpoint.
	MayHaveRun
)

// Header is the HTTP response header that carries the verdict on a request. It is set on every refusal and failure,
// too.
const Header = "X-Moorrun-Verdict"

// String returns the wire form of v: "not-run", "ran" or "may-have-run".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "invalid"
	}
}

// Parse returns the verdict whose wire form is text. It returns MayHaveRun for any other text, which is the safe
// assumption.
func Parse(text string) Verdict {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is the error of a failed request together with the verdict on the request.
type Error struct {
	Verdict Verdict
	Err     error
}

// New returns err with the verdict attached.
func New(v Verdict, err error) *Error { return &Error{Verdict: v, Err: err} }

// Error implements error.
func (e *Error) Error() string { return e.Verdict.String() + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict attached to err, or MayHaveRun if there is none.
func Of(err error) Verdict {
	var v *Error
	if errors.As(err, &v) {
		return v.Verdict
	}
	return MayHaveRun
}
