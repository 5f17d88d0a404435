package once

import "moorrun.dev/moorrun/internal/verdict"

// StoredAnswer is the outcome of a finished request, kept for later sends of it.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte // nil if it was too large to store
	Complete    bool   // whether Body is the complete body
	Verdict     verdict.Verdict
}

// Entry is the record of one key: its request and, once that has finished, the outcome.
type Entry struct {
	fingerprint [32]byte
	stamp       int64
	done        chan struct{}
	answer      StoredAnswer
	size        int
}

// Done returns a channel that is closed when the request has been finished or abandoned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Answer returns the outcome of the request. Call it only after the channel from Done is closed.
func (e *Entry) Answer() StoredAnswer { return e.answer }
