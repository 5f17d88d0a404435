package lab

// Completion is one request for a completion.
type Completion struct {
	Model        string
	Prompt       string
	Tokens       int
	NonStreaming bool // no streaming
	DeadlineMS   int
	// OnEvent is called with each event's number; an error makes the caller leave.
	OnEvent func(n int) error
}
