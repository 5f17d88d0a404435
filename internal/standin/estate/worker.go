package estate

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/standin"
)

const (
	joinDuration = 80 * time.Millisecond
	// EventInterval is the time between two events of a stream.
	EventInterval = 15 * time.Millisecond
	// EventsPerStream is the number of events in a stream.
	EventsPerStream = 12
)

// CrashRequestBody is the body of a request that crashes every worker that starts to run it.
const CrashRequestBody = "deadly"

// CrashPromptPrefix begins the ID of a part of a prompt that crashes every worker that begins to write an answer on it,
// whatever else the request holds.
const CrashPromptPrefix = "deadly"

// prefillDuration is the time from the start of a run to its first token.
const prefillDuration = 30 * time.Millisecond

// Run is one request that a worker has started to run.
type Run struct {
	Attempt string
	Worker  string
	Tenant  string
	After   string // ID of the event after which a stream resumes; empty for a new one
}

// group is a worker's membership of a replica group.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Worker emulates one server of the platform, with or without a model engine.
type Worker struct {
	ID      string
	Service string

	platform      *Platform
	server        *httptest.Server
	startedMillis int64 // Unix milliseconds

	mu               sync.Mutex
	group            *group
	members          []string
	model            string
	staged           []string
	maxEpoch         int64
	sequence         int64 // orders that it has begun
	stalled          bool
	frozenUntil      time.Time
	dead             bool
	draining         bool
	announcesLeaving bool // announces in its responses, not in its entry, that it is leaving
	refusing         bool
	retryAfter       string        // Retry-After, in seconds, of refusals; empty for none
	dropResponses    int           // number of next requests to run without a response
	unframed         bool          // its responses have neither a length nor chunks
	breakOffs        int           // number of next unframed responses to end midway, within an event if they are streams
	resetsBrokenOff  bool          // it resets the connections of those
	pauseWithin      time.Duration // how long it pauses within unframed responses that are no streams
	announcedLimit   string        // Server-Limit header of responses, in requests per second; empty for none
}

func (w *Worker) start() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.report())
	})
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("/", w.serve)
	w.server = standin.NewTestServer(w.platform.host, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.awaitThaw(r.Context())
		if !w.Alive() {
			panic(http.ErrAbortHandler) // its connections are closed one after the other, but a process that has ended answers on none
		}
		if expected := r.Header.Get("X-Moorrun-Expect-Instance"); expected != "" && expected != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	w.writeEntry()
}

// report returns what the worker tells of itself.
func (w *Worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]any{"born": w.startedMillis, "sequence": w.sequence}
	if w.group != nil {
		out["group"] = *w.group
	}
	return out
}

// writeEntry writes the worker's entry to the store; the caller must not hold mu.
func (w *Worker) writeEntry() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.Service, "address": w.server.Listener.Addr().String(), "zone": "z1", "slots": 4, "state": "ready", "domain": "d1", "staged": w.staged, "born": w.startedMillis,
	}
	if w.draining {
		entry["state"] = "draining"
	}
	if w.model != "" {
		entry["models"] = []map[string]any{{"name": w.model, "version": 1}}
	}
	if w.group != nil {
		entry["group"] = *w.group
	}
	dead := w.dead
	w.mu.Unlock()
	if !dead {
		w.platform.Store.Write("servers", w.ID, entry)
	}
}

// serve handles a request of a client.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // net/http detects that the client has disconnected only once the body is read
	attempt := r.Header.Get("X-Moorrun-Attempt-Id")
	rw.Header().Set("X-Moorrun-Attempt-Id", attempt)
	w.platform.recordArrival(w.ID)
	w.mu.Lock()
	engine := w.group != nil || w.model != ""
	open := w.group != nil && w.group.State == "open"
	refusing, retryAfter := w.refusing, w.retryAfter
	if w.announcesLeaving || w.draining {
		rw.Header().Set("Server-Leaving", "1")
	}
	if w.announcedLimit != "" {
		rw.Header().Set("Server-Limit", w.announcedLimit)
	}
	dropResponse := w.dropResponses > 0
	if dropResponse {
		w.dropResponses--
	}
	w.mu.Unlock()
	switch {
	case engine && !open:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case refusing:
		if retryAfter != "" {
			rw.Header().Set("Retry-After", retryAfter)
		}
		rw.Header().Set("X-Moorrun-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after := r.Header.Get("Last-Event-Id")
	w.platform.recordRun(Run{attempt, w.ID, r.Header.Get("X-Moorrun-Tenant"), after})
	if w.crashesOn(r, body) {
		return
	}
	if dropResponse {
		<-r.Context().Done() // the request has run but is never answered
		return
	}
	rw.Header().Set("X-Moorrun-Server-Seal", "seal-"+attempt)
	w.mu.Lock()
	unframed, breakOff, reset, pause := w.unframed, w.breakOffs > 0, w.resetsBrokenOff, w.pauseWithin
	if breakOff {
		w.breakOffs--
	}
	w.mu.Unlock()
	if unframed && pause > 0 && !engine {
		w.serveInTwoParts(rw, r, pause)
		return
	}
	if unframed {
		w.serveUnframed(rw, r, engine, breakOff, reset)
		return
	}
	w.answer(rw, r, engine, EventsPerStream)
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, after string, events int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(after)
	for id := first + 1; id <= events; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(EventInterval):
		}
		w.awaitThaw(r.Context())
		for w.isStalled() {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(EventInterval):
			}
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", id, r.Header.Get("X-Moorrun-Attempt-Id"))
		rw.(http.Flusher).Flush()
	}
}
