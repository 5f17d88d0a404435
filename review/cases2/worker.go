package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// execution is one run of a request at a worker.
type execution struct {
	attempt, worker, tenant string
	at                      time.Time
}

// executions records what has run, at all workers.
type executions struct {
	mu   sync.Mutex
	list []execution
}

func (x *executions) add(e execution) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list = append(x.list, e)
}

func (x *executions) all() []execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]execution(nil), x.list...)
}

// plainWorker is a stand-in for a worker without an engine.
type plainWorker struct {
	id, service, address string
	work                 time.Duration
	runs                 *executions
	server               *http.Server
	store                *store
}

// startPlainWorker starts a worker and records it in the store.
func startPlainWorker(s *store, runs *executions, id, service string, work time.Duration) (*plainWorker, error) {
	lis, err := net.Listen("tcp", newHost()+":0")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{id: id, service: service, address: lis.Addr().String(), work: work, runs: runs, store: s}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go w.server.Serve(lis) //nolint:errcheck // ends with Close
	w.enter("ready")
	return w, nil
}

// enter writes the worker's entry.
func (w *plainWorker) enter(state string) {
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "sequence": 0,
	})
}

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Moorrun-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Moorrun-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		answer(rw, http.StatusOK, map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0})
		return
	case "/healthz":
		rw.Header().Set("X-Moorrun-Instance-Id", w.id)
		return
	}
	attempt := r.Header.Get("X-Moorrun-Attempt-Id")
	if attempt == "" {
		rw.Header().Set("X-Moorrun-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.runs.add(execution{attempt, w.id, r.Header.Get("X-Moorrun-Tenant"), time.Now()})
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(w.work)
	body := fmt.Sprintf("answer of %s to %s", w.id, attempt)
	rw.Header().Set("X-Moorrun-Attempt-Id", attempt)
	rw.Header().Set("X-Moorrun-Server-Seal", "seal-"+attempt)
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

// end ends the worker: nothing listens at its address any more, and its connections break.
func (w *plainWorker) end() { _ = w.server.Close() }
