package lab

// Completion is one completion request.
type Completion struct {
	Model        string
	Prompt       string
	Tokens       int
	NonStreaming bool // request a single response instead of a stream
	DeadlineMS   int
	// OnEvent is called after each event with the number of events so far; on an error the caller closes the stream.
	OnEvent func(n int) error
}
