package gateway

import (
	"errors"
	"time"
)

// ErrNotYet is returned by a Reply when nothing has come in time.
var ErrNotYet = errors.New("nothing has come yet")

// Reason says why the system answers a request itself.
type Reason uint8

const (
	// NoRoute means that no route matches.
	NoRoute Reason = iota + 1
	// NoCredential means that the credential is missing or not known.
	NoCredential
	// NotRun means that the request has not run and will not.
	NotRun
	// Failed means that the request may have run and its answer is lost.
	Failed
	// TimedOut means that the request may have run and took too long.
	TimedOut
)

// String returns a word for logs.
func (r Reason) String() string {
	switch r {
	case NoRoute:
		return "no-route"
	case NoCredential:
		return "no-credential"
	case NotRun:
		return "not-run"
	case Failed:
		return "may-have-run"
	case TimedOut:
		return "timed-out"
	default:
		return "invalid"
	}
}

// Refusal is an answer of the system itself.
type Refusal struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // with NotRun: when to come back
}
