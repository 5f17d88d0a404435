// Package estate is a stand-in for the users' platform: its metadata store, its workers and its operator, as
// far as moorrun meets them, spoken over HTTP on loopback.
package estate

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store keeps of every object.
type Metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type change struct {
	kind    string
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's metadata store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object // by kind and name
	history  []change
	changed  chan bool
	down     bool
	calls    int
}

// NewStore starts a store.
func NewStore() *Store {
	s := &Store{objects: make(map[string]map[string]Object), changed: make(chan bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.calls++
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Address returns where the store listens.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { s.server.CloseClientConnections(); s.server.Close() }

// SetDown makes the store refuse every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Write stores an object as the operator or a worker does.
func (s *Store) Write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the stand-in's own types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.tell(change{kind: kind, Object: o, Deleted: true})
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.tell(change{kind: kind, Object: o})
	return o
}

func (s *Store) tell(c change) {
	c.Object.Metadata.Revision = s.revision
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan bool)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if since := r.URL.Query().Get("watch"); since != "" {
		s.watch(w, r, kind, since)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	const page = 5 // small, so that paging is met
	more := len(items) > page
	answer(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "more_pages": more, "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, since string) {
	from, _ := strconv.ParseInt(since, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	if held, ok := s.objects[kind][o.Metadata.Name]; ok {
		answer(w, http.StatusConflict, held)
		return
	}
	answer(w, http.StatusOK, s.put(kind, o.Metadata.Name, o.Spec))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	var o Object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	held, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	default:
		answer(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Has reports whether the store holds an object of that kind and name.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.objects[kind][name]
	return held
}
