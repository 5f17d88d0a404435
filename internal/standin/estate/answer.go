package estate

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// answer writes the response to a request that runs; a stream ends after the given number of events.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, engine bool, events int) {
	if !engine {
		_, _ = fmt.Fprintf(rw, "whole answer to %s", r.Header.Get("X-Moorrun-Attempt-Id"))
		return
	}
	w.stream(rw, r, r.Header.Get("Last-Event-Id"), events)
}

// serveUnframed writes a response with neither a length nor chunks. A broken off one ends midway, a stream within an event.
func (w *Worker) serveUnframed(rw http.ResponseWriter, r *http.Request, engine, breakOff, reset bool) {
	u, err := newUnframedWriter(rw)
	if err != nil {
		return
	}
	switch {
	case !breakOff:
		w.answer(u, r, engine, EventsPerStream)
	case engine:
		u.header.Set("Content-Type", "text/event-stream")
		w.answer(u, r, engine, EventsPerStream/2)
		_, _ = fmt.Fprintf(u, "id: %d\ndata: par", EventsPerStream/2+1)
	default:
		_, _ = fmt.Fprint(u, "part of an answer")
	}
	u.close(breakOff && reset)
}

// serveInTwoParts writes an unframed response that is no stream, with a pause within it.
func (w *Worker) serveInTwoParts(rw http.ResponseWriter, r *http.Request, pause time.Duration) {
	u, err := newUnframedWriter(rw)
	if err != nil {
		return
	}
	answer := "whole answer to " + r.Header.Get("X-Moorrun-Attempt-Id")
	half := len(answer) / 2
	_, _ = u.Write([]byte(answer[:half]))
	u.Flush()
	time.Sleep(pause)
	_, _ = u.Write([]byte(answer[half:]))
	u.close(false)
}

// crashesOn crashes the worker if the request holds what crashes workers, and reports whether it did.
func (w *Worker) crashesOn(r *http.Request, body []byte) bool {
	prompt := crashesOnPrompt(r)
	if !prompt && string(body) != CrashRequestBody {
		return false
	}
	if prompt {
		time.Sleep(prefillDuration)
	}
	w.platform.crash(w)
	<-r.Context().Done()
	return true
}

// crashesOnPrompt reports whether the prompt of a request has a part that crashes workers.
func crashesOnPrompt(r *http.Request) bool {
	for part := range strings.SplitSeq(r.Header.Get("X-Moorrun-Prompt-Prefix"), ",") {
		if strings.HasPrefix(part, CrashPromptPrefix) {
			return true
		}
	}
	return false
}
