// Package verdict says whether a request may have run at an endpoint.
package verdict

import "errors"

// Verdict is what is known about the effect of one request.
type Verdict uint8

// The zero Verdict is invalid, so that a forgotten one is noticed.
const (
	// NotRun means no endpoint has received or will run the request.
	NotRun Verdict = iota + 1
	// Ran means an endpoint ran the request and its outcome is known.
	Ran
	// MayHaveRun means bytes of the request may have reached an endpoint.
	MayHaveRun
)

// Header carries the verdict of every refusal and failure to the caller.
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

// Parse returns the verdict written as text; unknown text is MayHaveRun, the cautious reading.
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

// Error is a failure together with what is known about its request.
type Error struct {
	Verdict Verdict
	Err     error
}

// New returns err with the verdict attached.
func New(v Verdict, err error) *Error { return &Error{Verdict: v, Err: err} }

// Error implements error.
func (e *Error) Error() string { return e.Verdict.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict attached to err, or MayHaveRun when none is.
func Of(err error) Verdict {
	var v *Error
	if errors.As(err, &v) {
		return v.Verdict
	}
	return MayHaveRun
}
