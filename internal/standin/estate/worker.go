package estate

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	joinTime = 80 * time.Millisecond
	// EventInterval is the pause between two events of a stream.
	EventInterval = 15 * time.Millisecond
	// EventsPerStream is how many events a stream has.
	EventsPerStream = 12
)

// CrashRequestBody is the body of a request that ends each worker which begins to run it.
const CrashRequestBody = "deadly"

// Run is one request that a worker has begun to work on.
type Run struct {
	Attempt string
	Worker  string
	Tenant  string
	After   string // ID of the event it goes on after
}

// group is a worker's place in a replica group.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// Worker is one worker, of model engines or a plain one.
type Worker struct {
	ID      string
	Service string

	estate *Platform
	server *httptest.Server
	born   int64 // Unix milliseconds

	mu       sync.Mutex
	group    *group
	members  []string
	model    string
	staged   []string
	seen     int64
	stalled  bool
	dead     bool
	draining bool
	leaving  bool // says so in its answers, whatever its entry tells
	shedding bool
	pause    string // seconds that it names in Retry-After while it sheds; empty for none
	lose     int    // answers to lose
	limit    string // requests a second that it names in its answers; empty for none
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
		answer(rw, http.StatusOK, map[string]any{"born": w.born})
	})
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("/", w.serve)
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Moorrun-Expect-Instance"); expected != "" && expected != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	w.record()
}

// record writes the worker's entry; the lock is not held.
func (w *Worker) record() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.Service, "address": w.server.Listener.Addr().String(), "zone": "z1", "slots": 4, "state": "ready", "domain": "d1", "staged": w.staged, "born": w.born,
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
		w.estate.Store.Write("servers", w.ID, entry)
	}
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.WriteHeader(w.obey(o))
	w.record()
}

// obey carries an order out and returns the status of its answer.
func (w *Worker) obey(o order) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	mine := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if o.Epoch < w.seen {
			return http.StatusPreconditionFailed
		}
		w.seen, w.model, w.members = o.Epoch, o.Model, o.Members
		w.group = &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.ID), State: "joining"}
		time.AfterFunc(joinTime, func() { w.become(o, "ready") })
	case "open":
		if !mine || w.group.State != "ready" {
			return http.StatusConflict
		}
		w.estate.opening(o.Group, w.members)
		w.group.State = "open"
	case "leave":
		if mine {
			w.group = nil
		}
	case "stage":
		w.staged = []string{o.Model}
	}
	return http.StatusAccepted
}

func (w *Worker) become(o order, state string) {
	w.mu.Lock()
	mine := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	if mine {
		w.group.State = state
		w.estate.readied(o.Group, w.ID)
	}
	w.mu.Unlock()
	if mine {
		w.record()
	}
}

// serve answers a request.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a server sees a caller leave only once the body is read
	attempt := r.Header.Get("X-Moorrun-Attempt-Id")
	rw.Header().Set("X-Moorrun-Attempt-Id", attempt)
	w.estate.arrived(w.ID)
	w.mu.Lock()
	engine := w.group != nil || w.model != ""
	open := w.group != nil && w.group.State == "open"
	shedding, pause := w.shedding, w.pause
	if w.leaving || w.draining {
		rw.Header().Set("Server-Leaving", "1")
	}
	if w.limit != "" {
		rw.Header().Set("Server-Limit", w.limit)
	}
	lost := w.lose > 0
	if lost {
		w.lose--
	}
	w.mu.Unlock()
	switch {
	case engine && !open:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case shedding:
		if pause != "" {
			rw.Header().Set("Retry-After", pause)
		}
		rw.Header().Set("X-Moorrun-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after := r.Header.Get("Last-Event-Id")
	w.estate.ran(Run{attempt, w.ID, r.Header.Get("X-Moorrun-Tenant"), after})
	if string(body) == CrashRequestBody {
		w.estate.ended(w)
		<-r.Context().Done()
		return
	}
	if lost {
		<-r.Context().Done() // it has run, and its answer never comes
		return
	}
	rw.Header().Set("X-Moorrun-Server-Seal", "seal-"+attempt)
	if !engine {
		_, _ = fmt.Fprintf(rw, "whole answer to %s", attempt)
		return
	}
	w.stream(rw, r, after)
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, after string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(after)
	for id := first + 1; id <= EventsPerStream; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(EventInterval):
		}
		for w.still() {
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

func (w *Worker) still() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// Kill ends the worker at once; its entry goes a little later.
func (w *Worker) Kill(entryGoes time.Duration) {
	w.mu.Lock()
	w.dead = true
	w.mu.Unlock()
	w.server.Listener.Close() //nolint:errcheck // the worker is gone
	w.server.CloseClientConnections()
	time.AfterFunc(entryGoes, func() { w.estate.Store.Remove("servers", w.ID) })
}

// StallStreams makes streams of the worker stand still, or go on.
func (w *Worker) StallStreams(on bool) { w.set(func() { w.stalled = on }) }

// Refuse makes the worker refuse what it is sent, as not run.
func (w *Worker) Refuse(on bool) { w.set(func() { w.shedding, w.pause = on, "" }) }

// RefuseWithRetryAfter makes the worker refuse what it is sent and ask whoever sent it for a pause, in seconds.
func (w *Worker) RefuseWithRetryAfter(seconds string) {
	w.set(func() { w.shedding, w.pause = true, seconds })
}

// AnnounceLimit makes the worker name a limit in its answers, in requests a second; empty for none. It still takes all that comes.
func (w *Worker) AnnounceLimit(perSecond string) { w.set(func() { w.limit = perSecond }) }

// DropNextResponses makes the worker run the next n requests without ever answering.
func (w *Worker) DropNextResponses(n int) { w.set(func() { w.lose = n }) }

// Drain announces that the worker is about to leave.
func (w *Worker) Drain() {
	w.set(func() { w.draining = true })
	w.record()
}

// AnnounceLeaving makes the worker tell in its answers that it is about to leave, but not in its entry.
func (w *Worker) AnnounceLeaving() { w.set(func() { w.leaving = true }) }

func (w *Worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// Alive reports whether the worker has not ended.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// OpenHead reports whether the worker is the head of an open group.
func (w *Worker) OpenHead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead && w.group != nil && w.group.State == "open"
}
