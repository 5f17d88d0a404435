package estate

import (
	"fmt"
	"sync"
	"time"
)

// Platform is a whole stand-in platform.
type Platform struct {
	Store *Store

	mu       sync.Mutex
	workers  []*Worker
	runs     []Run
	arrivals map[string][]time.Time     // of requests, by worker
	ready    map[string]map[string]bool // group → members that have been ready in it
	breaches []string
	ends     int // of workers, under deadly requests
	closed   bool
}

// New starts an estate without workers.
func New() *Platform {
	return &Platform{Store: NewStore(), arrivals: make(map[string][]time.Time), ready: make(map[string]map[string]bool)}
}

// StartWorker starts a worker of a service.
func (e *Platform) StartWorker(service string) *Worker {
	e.mu.Lock()
	w := &Worker{ID: fmt.Sprintf("i-%02d", len(e.workers)+1), Service: service, estate: e, born: time.Now().UnixMilli()}
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	w.start()
	return w
}

// again starts a worker that has ended once more, under the same ID; it knows nothing of before.
func (e *Platform) again(ended *Worker) {
	w := &Worker{ID: ended.ID, Service: ended.Service, estate: e, born: time.Now().UnixMilli()}
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	w.start()
}

// Close stops everything.
func (e *Platform) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	for _, w := range e.Workers() {
		w.StallStreams(false)
		w.server.CloseClientConnections()
		w.server.Close()
	}
	e.Store.Close()
}

// Workers returns all workers, dead ones included.
func (e *Platform) Workers() []*Worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Worker(nil), e.workers...)
}

// OpenHeads returns the heads of open groups.
func (e *Platform) OpenHeads() []*Worker {
	var out []*Worker
	for _, w := range e.Workers() {
		if w.OpenHead() {
			out = append(out, w)
		}
	}
	return out
}

func (e *Platform) ran(r Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
}

func (e *Platform) arrived(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[worker] = append(e.arrivals[worker], time.Now())
}

// Arrivals returns when requests have reached a worker, those included that it refused.
func (e *Platform) Arrivals(worker string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals[worker]...)
}

const (
	// entryOutlives is how long the entry of a worker stands after it has ended without a word.
	entryOutlives = 1500 * time.Millisecond
	// backAfter is how long after that it starts again.
	backAfter = 300 * time.Millisecond
)

// ended ends a worker under a deadly request; some time later it starts again.
func (e *Platform) ended(w *Worker) {
	e.mu.Lock()
	e.ends++
	e.mu.Unlock()
	w.Kill(entryOutlives)
	time.AfterFunc(entryOutlives+backAfter, func() { e.again(w) })
}

// Crashes returns how many workers have ended under deadly requests.
func (e *Platform) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends
}

func (e *Platform) readied(group, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ready[group] == nil {
		e.ready[group] = make(map[string]bool)
	}
	e.ready[group][id] = true
}

// opening notes a breach if a group opens of which a member has never been ready.
func (e *Platform) opening(group string, members []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range members {
		if !e.ready[group][id] {
			e.breaches = append(e.breaches, fmt.Sprintf("%s opens though %s has never been ready in it", group, id))
		}
	}
}

// Runs returns the runs of one attempt.
func (e *Platform) Runs(attempt string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Run
	for _, r := range e.runs {
		if r.Attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}

// Breaches returns what has been seen that must never be.
func (e *Platform) Breaches() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.breaches...)
}

// Configure writes the operator's configuration. Keys hold the credentials of the one tenant; MS is the
// time-out of streams.
func (e *Platform) Configure(version, streamTimeoutMS int, keys ...string) {
	routes := []map[string]any{
		{"name": "lm", "hostname": "h.example", "path_prefix": "/lm/", "route_kind": "streaming", "resumable": true, "sticky": true, "service": "engines", "timeout_ms": streamTimeoutMS, "slo_ms": 500, "gap_target_ms": 300, "max_attempts": 2, "priority": 1},
		{"name": "once", "hostname": "h.example", "path_prefix": "/once/", "route_kind": "non_idempotent", "service": "plain", "timeout_ms": 1500, "slo_ms": 300, "max_attempts": 1, "priority": 2},
		{"name": "again", "hostname": "h.example", "path_prefix": "/again/", "route_kind": "idempotent", "service": "plain", "timeout_ms": 1500, "slo_ms": 300, "max_attempts": 2, "priority": 2},
	}
	engine := map[string]any{
		"slots": 4, "loads_per_s": 5, "loads_at_once": 7, "form_ms": 10,
		"models": []map[string]any{{"name": "m", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.2}},
	}
	e.Store.Write("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "engines", "engine": engine}, {"name": "plain"}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": keys, "priority": 1}},
	})
}
