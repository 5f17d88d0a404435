package gateway

import "time"

// Request is what the gateway needs to know of a caller's request.
type Request struct {
	ID         string
	Host       string
	Method     string
	Path       string
	Query      string // without the question mark
	Body       []byte
	Credential string
	Model      string
	// PromptTokens is the length of the prompt; zero if it is not known.
	PromptTokens int
	ResumeAfter  string // ID of the last event that the caller has
	Received     time.Time
	Patience     time.Duration // that the caller will wait; zero if it did not say
}
