package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	VM              string
	Host            string // the loopback host that it listens on
	ChecksOrders    bool
	TokenInterval   time.Duration
	Prefill         time.Duration // before the first token
	LoadReportLag   time.Duration // age up to which a reported load is repeated
	PrefixCacheSize int           // number of prompt prefixes in the cache; 0 disables it
	Weights         *WeightStore
	Registry        *EngineRegistry
}

// Engine emulates the model engine of one VM.
type Engine struct {
	*Server
	EngineOptions
	SlowdownFactor    atomic.Int64 // multiplies prefill and token intervals; 0 means 1
	FailAll           atomic.Bool  // responds 500 to every completion
	RetryAfterSeconds atomic.Int64 // if not 0, refuses every completion with 503 and this Retry-After
	MisattributeNext  atomic.Bool  // the next response carries the ID and text of another request
	Runs              atomic.Int64 // completions started
	Requests          atomic.Int64 // completions received, refused ones included
	Cancelled         atomic.Int64
	Crashes           atomic.Int64 // caused by CrashPassage
	Cache             PrefixCache

	mu            sync.Mutex
	state         infra.EngineState
	order         infra.Order
	loadedWeights string // model@version whose weights are in memory
	readyAt       time.Time
	streams       map[string]*stream
	running       int
	waiting       int
	reported      reportedLoad
	placeFreed    *sync.Cond
}

type reportedLoad struct {
	at               time.Time
	running, waiting int
}

// StartEngine starts an engine that is in no group.
func StartEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{EngineOptions: o, streams: make(map[string]*stream)}
	e.placeFreed = sync.NewCond(&e.mu)
	e.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/state", e.handleState)
	mux.HandleFunc("POST /engine/order", e.handleOrder)
	mux.HandleFunc("POST /engine/completions", e.complete)
	mux.HandleFunc("GET /engine/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /engine/streams/{id}", e.cancel)
	var err error
	if e.Server, err = StartServer(anyPort(o.Host), mux); err != nil {
		return nil, err
	}
	o.Registry.add(e)
	return e, nil
}

func (e *Engine) reset() {
	e.state = infra.EngineState{VM: e.VM, Boot: fmt.Sprintf("%x", rand.Uint64())}
	e.order, e.loadedWeights, e.streams = infra.Order{}, "", make(map[string]*stream)
	e.running, e.waiting = 0, 0
}

// crashDowntime is the time from the crash of an engine to its restart.
const crashDowntime = 500 * time.Millisecond

// crash kills the engine because of what a request held, and restarts it later.
func (e *Engine) crash() {
	if !e.isRunning() {
		return
	}
	e.Crashes.Add(1)
	e.Kill()
	time.AfterFunc(crashDowntime, func() { _ = e.Restart() })
}

// Restart starts a killed engine again at its address, with empty state and a new boot ID.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.reset()
	e.mu.Unlock()
	return e.Start()
}

func (e *Engine) inGroup(group string, birth int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Group == group && e.state.GroupBirth == birth && e.ready()
}

func (e *Engine) ready() bool { return e.state.Group != "" && !time.Now().Before(e.readyAt) }

// State returns the current state; unlike the HTTP API it ignores LoadReportLag.
func (e *Engine) State() infra.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Ready = e.ready()
	s.Running, s.Waiting = e.running, e.waiting
	return s
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	s := e.State()
	e.mu.Lock()
	if time.Since(e.reported.at) > e.LoadReportLag {
		e.reported = reportedLoad{time.Now(), e.running, e.waiting}
	}
	if e.LoadReportLag > 0 {
		s.Running, s.Waiting = e.reported.running, e.reported.waiting
	}
	e.mu.Unlock()
	writeJSON(w, s)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o infra.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksOrders && o.Generation < e.state.Generation {
		http.Error(w, "a later generation has been obeyed", http.StatusConflict)
		return
	}
	weights := o.Model + "@" + o.Version
	if o.Model != "" && e.loadedWeights != weights {
		load := e.Weights.StartLoad()
		e.readyAt = time.Now().Add(load)
		e.loadedWeights = weights
		e.state.LoadMillis = load.Milliseconds()
	}
	e.order = o
	e.state.Generation = o.Generation
	e.state.Group, e.state.GroupBirth, e.state.Role = o.Group, o.GroupBirth, o.Role
	e.state.Model, e.state.Version, e.state.Adapters = o.Model, o.Version, o.Adapters
	w.WriteHeader(http.StatusOK)
}

// scaled returns d multiplied by SlowdownFactor.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(1, e.SlowdownFactor.Load()))
}
