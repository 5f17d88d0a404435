package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/route"
)

// Request is a caller's request as the gateway needs it.
type Request struct {
	ID         string
	Host       string
	Method     string
	Path       string
	Query      string // without the question mark
	Body       []byte
	Credential string
	Model      string
	// PromptTokens is the length of the prompt in tokens; zero if unknown.
	PromptTokens int
	// MaxTokens is the largest number of tokens that the answer may have; zero if unknown. An event holds one token at least.
	MaxTokens int
	// PromptParts are the IDs of the parts of the prompt, in order. Different requests may have parts in common.
	PromptParts   []string
	ResumeAfter   string // ID of the last event that the caller has received; empty for a new stream
	Received      time.Time
	CallerTimeout time.Duration // how long the caller waits for the answer; zero if not specified
}

// deadline returns by when the request must have been answered on the given route.
func (r *Request) deadline(on *route.Route) time.Time {
	timeout := on.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}
	return r.Received.Add(timeout)
}
