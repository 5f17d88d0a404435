package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/standin/estate"
)

const (
	engineServiceName = "engines"
	modelName         = "m1"
	// eventsPerStream and eventInterval are those of an ordinary stream of a small deployment.
	eventsPerStream = 34
	eventInterval   = 60 * time.Millisecond
	prefill         = 110 * time.Millisecond
	firstJoin       = 1200 * time.Millisecond // a load before the first request
	nextJoin        = 200 * time.Millisecond
)

// membership is a worker's group as its entry tells it.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

// worker is a stand-in of a worker, with a model engine if its service is engineServiceName.
type worker struct {
	id      string
	service string
	store   *estate.Store
	record  *record
	queue   *queueListener
	server  *http.Server

	mu       sync.Mutex
	group    *membership
	model    string
	maxEpoch int64
	sequence int
	callers  map[string]net.Addr // other end of the connection of each request that it has run, by attempt
}

func startWorker(id, service string, s *estate.Store, r *record) (*worker, error) {
	l, err := newQueueListener()
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, store: s, record: r, queue: l, callers: make(map[string]net.Addr)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", w.report)
	if service == engineServiceName {
		mux.HandleFunc("POST /v1/order", w.order)
		mux.HandleFunc("POST /", w.serve)
	} else {
		mux.HandleFunc("/", w.servePlain)
	}
	w.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Moorrun-Expect-Instance"); expected != "" && expected != id {
			rw.Header().Set("X-Moorrun-Instance-Id", id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, q)
	})}
	go func() { _ = w.server.Serve(l) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeEntry()
	return w, nil
}

// writeEntry writes the worker's entry to the store. w.mu must be held.
func (w *worker) writeEntry() {
	entry := map[string]any{
		"service": w.service, "address": w.queue.Addr().String(), "zone": "z1", "version": "1", "slots": 17, "state": "ready", "cold_left_ms": 0,
		"sequence": w.sequence,
	}
	if w.service == engineServiceName {
		entry["stage"], entry["models"], entry["domain"], entry["staged"] = "mixed", w.models(), "d1", w.staged()
	}
	if w.group != nil {
		entry["group"] = *w.group
	}
	w.store.Write("servers", w.id, entry)
}

func (w *worker) models() []map[string]any {
	if w.group == nil {
		return []map[string]any{}
	}
	return []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
}

func (w *worker) staged() []string {
	if w.model == "" {
		return []string{}
	}
	return []string{w.model}
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "mixed", "models": w.models(), "busy": w.group != nil && w.group.State == "joining", "sequence": w.sequence, "waiting": 0,
		"running": 0, "kv_used": 0, "kv_total": 1860000, "handles": 0, "pace": 1,
	})
}

func (w *worker) order(rw http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.apply(o)
	if status == http.StatusAccepted {
		w.sequence++
		w.writeEntry()
	}
	w.record.add("%s: order %s of group %s, epoch %d: %d", w.id, o.Op, o.Group, o.Epoch, status)
	rw.WriteHeader(status)
}

// apply carries out an order and returns the status of the answer. w.mu must be held.
func (w *worker) apply(o order) int {
	inGroup := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch {
	case o.Op == "join" && o.Epoch < w.maxEpoch:
		return http.StatusPreconditionFailed
	case o.Op == "join":
		takes := nextJoin
		if w.model != o.Model {
			takes = firstJoin
		}
		w.maxEpoch, w.model = o.Epoch, o.Model
		w.group = &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining"}
		time.AfterFunc(takes, func() { w.setState(o, "joining", "ready") })
	case o.Op == "stage":
	case !inGroup:
		return http.StatusConflict
	case o.Op == "open" && w.group.State == "ready" && w.group.Rank == 0:
		time.AfterFunc(300*time.Millisecond, func() { w.setState(o, "ready", "open") })
	case o.Op == "leave":
		w.group = nil
	default:
		return http.StatusConflict
	}
	return http.StatusAccepted
}

// setState changes the state of the group that the order named, unless the worker has left it.
func (w *worker) setState(o order, from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.group == nil || w.group.Name != o.Group || w.group.Epoch != o.Epoch || w.group.State != from {
		return
	}
	w.group.State = to
	w.writeEntry()
}

func (w *worker) isOpenHead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group != nil && w.group.State == "open"
}

// callerOf returns the other end of the connection on which a request came, or nil.
func (w *worker) callerOf(attempt string) net.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callers[attempt]
}

// workTime is how long a plain request runs.
const workTime = 15 * time.Millisecond

// servePlain answers a request of a client at a service without an engine.
func (w *worker) servePlain(rw http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Moorrun-Attempt-Id")
	w.mu.Lock()
	w.callers[attempt] = nil
	w.mu.Unlock()
	time.Sleep(workTime)
	h := rw.Header()
	h.Set("X-Moorrun-Attempt-Id", attempt)
	h.Set("X-Moorrun-Server-Seal", "seal-"+w.id+"-"+attempt)
	_, _ = fmt.Fprintf(rw, "%s of %s for tenant %s", attempt, w.service, q.Header.Get("X-Moorrun-Tenant"))
}

// ran reports whether the worker has run a request.
func (w *worker) ran(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.callers[attempt]
	return found
}

// serve answers a request of a client with a stream that ends with its connection.
func (w *worker) serve(rw http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Moorrun-Attempt-Id")
	if !w.isOpenHead() {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	conn, out, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the answer ends with it
	w.mu.Lock()
	w.callers[attempt] = conn.RemoteAddr()
	w.mu.Unlock()
	w.record.add("%s runs %s after event %d", w.id, attempt, after)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Moorrun-Attempt-Id: %s\r\n"+
		"X-Moorrun-Server-Seal: seal-%s-%s\r\nX-Moorrun-Weight-Versions: 1\r\n\r\n", attempt, w.id, attempt)
	sent, err := w.writeEvents(conn, out.Writer, attempt, after)
	w.record.add("%s ends %s after event %d of %d: %v", w.id, attempt, sent, eventsPerStream, err)
}

// writeEvents writes the events after the given one and returns the last one written.
func (w *worker) writeEvents(conn net.Conn, out *bufio.Writer, attempt string, after int) (int, error) {
	time.Sleep(prefill)
	for id := after + 1; id <= eventsPerStream; id++ {
		time.Sleep(eventInterval)
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", id, attempt, id)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if err := out.Flush(); err != nil {
			return id - 1, err
		}
	}
	return eventsPerStream, nil
}
