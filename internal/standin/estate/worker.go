package estate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
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
	stalled          bool
	frozenUntil      time.Time
	dead             bool
	draining         bool
	announcesLeaving bool // announces in its responses, not in its entry, that it is leaving
	refusing         bool
	retryAfter       string // Retry-After, in seconds, of refusals; empty for none
	dropResponses    int    // number of next requests to run without a response
	unframed         bool   // its responses have neither a length nor chunks
	breakOffs        int    // number of next unframed responses to end midway, within an event if they are streams
	resetsBrokenOff  bool   // it resets the connections of those
	announcedLimit   string // Server-Limit header of responses, in requests per second; empty for none
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

func (w *Worker) start() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, map[string]any{"born": w.startedMillis})
	})
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("/", w.serve)
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.awaitThaw(r.Context())
		if expected := r.Header.Get("X-Moorrun-Expect-Instance"); expected != "" && expected != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	w.writeEntry()
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

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.checkJoin(o)
	rw.WriteHeader(w.applyOrder(o))
	w.writeEntry()
}

// checkJoin records a breach if a join takes the worker out of a group whose head still serves.
func (w *Worker) checkJoin(o order) {
	w.mu.Lock()
	current, members := w.group, w.members
	w.mu.Unlock()
	if o.Op != "join" || current == nil || current.Name == o.Group || len(members) == 0 {
		return
	}
	for _, head := range w.platform.OpenHeads() {
		if head.ID == members[0] && head.GroupName() == current.Name {
			w.platform.recordBreach(fmt.Sprintf("worker %s joins group %s while the head %s of its group %s is open", w.ID, o.Group, head.ID, current.Name))
		}
	}
}

// GroupName returns the name of the worker's group, or "".
func (w *Worker) GroupName() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil {
		return ""
	}
	return w.group.Name
}

// applyOrder carries out an order and returns the status of the response.
func (w *Worker) applyOrder(o order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	inGroup := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if o.Epoch < w.maxEpoch {
			return http.StatusPreconditionFailed
		}
		w.maxEpoch, w.model, w.members = o.Epoch, o.Model, o.Members
		w.group = &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.ID), State: "joining"}
		time.AfterFunc(joinDuration, func() { w.setState(o, "ready") })
	case "open":
		if !inGroup || w.group.State != "ready" {
			return http.StatusConflict
		}
		w.platform.checkOpening(o.Group, w.members)
		w.group.State = "open"
	case "leave":
		if inGroup {
			w.group = nil
		}
	case "stage":
		w.staged = []string{o.Model}
	}
	return http.StatusAccepted
}

func (w *Worker) setState(o order, state string) {
	w.mu.Lock()
	inGroup := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	if inGroup {
		w.group.State = state
		w.platform.recordReady(o.Group, w.ID)
	}
	w.mu.Unlock()
	if inGroup {
		w.writeEntry()
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
	if crashesOnPrompt(r) {
		time.Sleep(prefillDuration)
		w.platform.crash(w)
		<-r.Context().Done()
		return
	}
	if string(body) == CrashRequestBody {
		w.platform.crash(w)
		<-r.Context().Done()
		return
	}
	if dropResponse {
		<-r.Context().Done() // the request has run but is never answered
		return
	}
	rw.Header().Set("X-Moorrun-Server-Seal", "seal-"+attempt)
	w.mu.Lock()
	unframed, breakOff, reset := w.unframed, w.breakOffs > 0, w.resetsBrokenOff
	if breakOff {
		w.breakOffs--
	}
	w.mu.Unlock()
	if unframed {
		w.serveUnframed(rw, r, engine, breakOff, reset)
		return
	}
	w.answer(rw, r, engine, EventsPerStream)
}

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

// crashesOnPrompt reports whether the prompt of a request has a part that crashes workers.
func crashesOnPrompt(r *http.Request) bool {
	for part := range strings.SplitSeq(r.Header.Get("X-Moorrun-Prompt-Prefix"), ",") {
		if strings.HasPrefix(part, CrashPromptPrefix) {
			return true
		}
	}
	return false
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

func (w *Worker) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// Kill stops the worker at once; its entry is removed from the store after the given delay.
func (w *Worker) Kill(removalDelay time.Duration) {
	w.mu.Lock()
	w.dead = true
	w.mu.Unlock()
	w.server.Listener.Close() //nolint:errcheck // the worker is dead
	w.server.CloseClientConnections()
	time.AfterFunc(removalDelay, func() { w.platform.Store.Remove("servers", w.ID) })
}

// StallStreams makes the streams of the worker stop sending events, or continue.
func (w *Worker) StallStreams(on bool) { w.set(func() { w.stalled = on }) }

// Freeze makes the worker do nothing for a while, as if its process were suspended: connections are accepted, and nothing is
// answered until the time is over.
func (w *Worker) Freeze(d time.Duration) { w.set(func() { w.frozenUntil = time.Now().Add(d) }) }

// awaitThaw waits until the worker is not frozen, or ctx ends.
func (w *Worker) awaitThaw(ctx context.Context) {
	w.mu.Lock()
	until := w.frozenUntil
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// Refuse makes the worker refuse all requests as not executed, without a Retry-After header, or accept them again.
func (w *Worker) Refuse(on bool) { w.set(func() { w.refusing, w.retryAfter = on, "" }) }

// RefuseWithRetryAfter makes the worker refuse all requests as not executed, with the given Retry-After.
func (w *Worker) RefuseWithRetryAfter(seconds string) {
	w.set(func() { w.refusing, w.retryAfter = true, seconds })
}

// AnnounceLimit sets the rate limit that the worker announces in its responses, in requests per second; empty for none.
// The worker does not enforce it.
func (w *Worker) AnnounceLimit(perSecond string) { w.set(func() { w.announcedLimit = perSecond }) }

// DropNextResponses makes the worker run the next n requests without responding.
func (w *Worker) DropNextResponses(n int) { w.set(func() { w.dropResponses = n }) }

// AnswerUnframed makes the worker answer with neither a length nor chunks.
func (w *Worker) AnswerUnframed() { w.set(func() { w.unframed = true }) }

// BreakOffNextUnframed makes the worker end the next n unframed responses midway, with a reset of their connections if reset is set.
func (w *Worker) BreakOffNextUnframed(n int, reset bool) {
	w.set(func() { w.breakOffs, w.resetsBrokenOff = n, reset })
}

// Drain announces in the entry and in responses that the worker is about to leave.
func (w *Worker) Drain() {
	w.set(func() { w.draining = true })
	w.writeEntry()
}

// AnnounceLeaving announces in responses, but not in the entry, that the worker is about to leave.
func (w *Worker) AnnounceLeaving() { w.set(func() { w.announcesLeaving = true }) }

func (w *Worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// Alive reports whether the worker has neither been killed nor crashed.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// OpenHead reports whether the worker is alive and the head of an open group.
func (w *Worker) OpenHead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead && w.group != nil && w.group.State == "open"
}

// Address returns the address at which the worker listens.
func (w *Worker) Address() string { return w.server.Listener.Addr().String() }
