package gateway

import (
	"errors"
	"time"
)

// ErrNotYet is returned by a Reply when no data has arrived in time.
var ErrNotYet = errors.New("no data received in time")

// ErrNoAnswer is returned by a Reply when the endpoint sends bytes that are no answer.
var ErrNoAnswer = errors.New("the endpoint sends bytes that are no answer")

// Reason is the reason why the gateway refuses a request.
type Reason uint8

const (
	// NoRoute means that no route matches.
	NoRoute Reason = iota + 1
	// NoCredential means that the credential is missing or unknown.
	NoCredential
	// NotRun means that the request has not run and will not run.
	NotRun
	// Failed means that the request may have run and its answer was lost.
	Failed
	// TimedOut means that the request may have run and was not answered by its deadline.
	TimedOut
)

// String returns the name of the reason used in logs and metric labels.
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

// Refusal is an error answer of the gateway itself.
type Refusal struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // with NotRun: how long the caller should wait before it tries again
}
