package once

import "moorrun.dev/moorrun/internal/verdict"

// Stored is a finished answer kept for a request that is sent again.
type Stored struct {
	Status      int
	ContentType string
	Body        []byte // nil when it was too large to keep
	Complete    bool   // Body is the whole body
	Verdict     verdict.Verdict
}

// Entry is the record of one key.
type Entry struct {
	fingerprint [32]byte
	stamp       int64
	done        chan struct{}
	answer      Stored
	size        int
}

// Wait returns a channel that is closed when the request has finished.
func (e *Entry) Wait() <-chan struct{} { return e.done }

// Answer returns what the request ended with; call it after Wait's channel is closed.
func (e *Entry) Answer() Stored { return e.answer }
