package estate

import (
	"fmt"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/standin"
)

// PlainTimeout is the timeout of the routes to workers that form no groups.
const PlainTimeout = 1500 * time.Millisecond

// Platform emulates the users' platform: a metadata store and workers.
type Platform struct {
	Store *Store

	host string // that the store and the workers listen on

	mu        sync.Mutex
	workers   []*Worker
	runs      []Run
	arrivals  map[string][]time.Time     // times of requests, by worker
	everReady map[string]map[string]bool // by group, the members that have been ready in it
	breaches  []string
	crashes   int // number of workers that crashed on what a request held
	closed    bool
}

// New starts a platform without workers.
func New() *Platform {
	host := standin.OwnHost()
	return &Platform{Store: newStore(host), host: host, arrivals: make(map[string][]time.Time), everReady: make(map[string]map[string]bool)}
}

// Restore makes the store come back from a copy. The workers write their entries again.
func (p *Platform) Restore(c *Copy) {
	p.Store.Restore(c)
	p.WriteEntries()
}

// WriteEntries makes the workers write their entries again.
func (p *Platform) WriteEntries() {
	for _, w := range p.Workers() {
		w.writeEntry()
	}
}

// RemoveEntries removes the entries of all workers, which serve on.
func (p *Platform) RemoveEntries() {
	for _, w := range p.Workers() {
		p.Store.Remove("servers", w.ID)
	}
}

// StartWorker starts a worker of a service.
func (p *Platform) StartWorker(service string) *Worker {
	p.mu.Lock()
	w := &Worker{ID: fmt.Sprintf("i-%02d", len(p.workers)+1), Service: service, platform: p, startedMillis: time.Now().UnixMilli()}
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	w.start()
	return w
}

// restart starts a crashed worker again under the same ID, with empty state.
func (p *Platform) restart(crashed *Worker) {
	w := &Worker{ID: crashed.ID, Service: crashed.Service, platform: p, startedMillis: time.Now().UnixMilli()}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	w.start()
}

// Close stops all workers and the store.
func (p *Platform) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, w := range p.Workers() {
		w.StallStreams(false)
		w.server.CloseClientConnections()
		w.server.Close()
	}
	p.Store.Close()
}

// Workers returns all workers, including those that were killed or crashed.
func (p *Platform) Workers() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Worker(nil), p.workers...)
}

// OpenHeads returns the live heads of open groups.
func (p *Platform) OpenHeads() []*Worker {
	var out []*Worker
	for _, w := range p.Workers() {
		if w.OpenHead() {
			out = append(out, w)
		}
	}
	return out
}

func (p *Platform) recordRun(r Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, r)
}

func (p *Platform) recordArrival(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[worker] = append(p.arrivals[worker], time.Now())
}

// Arrivals returns the times at which requests reached a worker, including those that it refused.
func (p *Platform) Arrivals(worker string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.arrivals[worker]...)
}

const (
	// entryRemovalDelay is the time from the unannounced crash of a worker to the removal of its entry from the store.
	entryRemovalDelay = 1500 * time.Millisecond
	// restartDelay is the time from the removal of the entry to the restart of the worker.
	restartDelay = 300 * time.Millisecond
)

// crash kills a worker because of what a request held, and restarts it later.
func (p *Platform) crash(w *Worker) {
	if !w.Alive() {
		return
	}
	p.mu.Lock()
	p.crashes++
	p.mu.Unlock()
	w.Kill(entryRemovalDelay)
	time.AfterFunc(entryRemovalDelay+restartDelay, func() { p.restart(w) })
}

// Crashes returns the number of crashes caused by what requests held.
func (p *Platform) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

func (p *Platform) recordReady(group, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.everReady[group] == nil {
		p.everReady[group] = make(map[string]bool)
	}
	p.everReady[group][id] = true
}

func (p *Platform) recordBreach(breach string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaches = append(p.breaches, breach)
}

// checkOpening records a breach if a member of the opening group has never been ready in it.
func (p *Platform) checkOpening(group string, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range members {
		if !p.everReady[group][id] {
			p.breaches = append(p.breaches, fmt.Sprintf("group %s opened although member %s had never been ready in it", group, id))
		}
	}
}

// RunCount returns the number of runs so far.
func (p *Platform) RunCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// Runs returns the runs with the given attempt ID.
func (p *Platform) Runs(attempt string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, r := range p.runs {
		if r.Attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}

// Breaches returns the violations of invariants seen so far.
func (p *Platform) Breaches() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.breaches...)
}

// Configure writes the operator's configuration. The keys are the credentials of its only tenant; streamTimeoutMS is
// the timeout of the streaming route.
func (p *Platform) Configure(version, streamTimeoutMS int, keys ...string) {
	routes := []map[string]any{
		{"name": "lm", "hostname": "h.example", "path_prefix": "/lm/", "route_kind": "streaming", "resumable": true, "sticky": true, "service": "engines", "timeout_ms": streamTimeoutMS, "slo_ms": 500, "gap_target_ms": 300, "max_attempts": 2, "priority": 1},
		{"name": "once", "hostname": "h.example", "path_prefix": "/once/", "route_kind": "non_idempotent", "service": "plain", "timeout_ms": PlainTimeout.Milliseconds(), "slo_ms": 300, "max_attempts": 1, "priority": 2},
		{"name": "again", "hostname": "h.example", "path_prefix": "/again/", "route_kind": "idempotent", "service": "plain", "timeout_ms": PlainTimeout.Milliseconds(), "slo_ms": 300, "max_attempts": 2, "priority": 2},
	}
	engine := map[string]any{
		"slots": 4, "loads_per_s": 5, "loads_at_once": 7, "form_ms": 10,
		"models": []map[string]any{{"name": "m", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.2}},
	}
	p.Store.Write("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "engines", "engine": engine}, {"name": "plain"}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": keys, "priority": 1}},
	})
}
