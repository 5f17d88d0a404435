package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the stand-in for the platform's metadata store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// event is one change, as a watch tells it.
type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. Each machine has a gate, an address of its own, so that the store can
// treat machines differently.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	history  []event
	changed  chan struct{}
	gates    []*gate
}

// mode is how the store treats a machine.
type mode int

const (
	serving mode = iota // every call is answered
	busy                // every call is answered with 503
	cut                 // connections are reset
)

// gate is the address at which one machine reaches the store.
type gate struct {
	store   *store
	server  *http.Server
	address string
	link    *link // from the machine to this address

	mu      sync.Mutex
	mode    mode
	calls   int
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// openGate opens an address for one machine.
func (s *store) openGate(host string) (*gate, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, address: lis.Addr().String(), changed: make(chan struct{})}
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: time.Minute}
	s.gates = append(s.gates, g)
	go g.server.Serve(lis) //nolint:errcheck // ends with close
	return g, nil
}

func (s *store) close() {
	for _, g := range s.gates {
		_ = g.server.Close()
	}
}

// set changes how the machine is treated. Calls that wait are no longer answered, or are answered with 503.
func (g *gate) set(m mode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) state() (mode, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.changed
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.calls++
	g.mu.Unlock()
	m, changed := g.state()
	if m == serving {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-changed:
				cancel()
			case <-ctx.Done():
			}
		}()
		if g.store.serve(w, r.WithContext(ctx)) {
			return
		}
		m, _ = g.state()
	}
	if m == cut {
		reset(w)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reset ends the connection of a call with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// serve answers a call, and reports whether it has.
func (s *store) serve(w http.ResponseWriter, r *http.Request) bool {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], strings.Join(parts[1:], "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		return s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // body is always of a type that can be marshalled
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.objects[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	const page = 500
	answer(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "more_pages": len(items) > page, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) bool {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return true
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if r.Method == http.MethodDelete {
		expected, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		answer(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && !known:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && expected != 0 && expected != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		answer(w, http.StatusOK, held)
	default:
		answer(w, http.StatusOK, s.putLocked(kind, name, o.Spec))
	}
}

// put writes an object as the operator or a worker does. The return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // spec is always of a type that can be marshalled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, known := s.objects[kind][name]; known && string(held.Spec) == string(text) {
		return
	}
	s.putLocked(kind, name, text)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	var o object
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.tell(event{kind: kind, Object: o})
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.tell(event{kind: kind, Object: o, Deleted: true})
}

func (s *store) tell(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}
