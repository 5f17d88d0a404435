// Package estate emulates the users' platform over HTTP on loopback: those parts of its metadata store, its workers and
// its operator that moorrun interacts with.
package estate

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/standin"
)

// Object is an object of the metadata store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     Spec            `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the name of an object and the revision of its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type change struct {
	kind    string
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store emulates the platform's metadata store.
type Store struct {
	server *httptest.Server
	mux    *http.ServeMux

	mu       sync.Mutex
	revision int64
	era      int64                        // number of times that it came back from a copy
	objects  map[string]map[string]Object // by kind and name
	history  []change
	changed  chan bool
	down     bool
	calls    int
	restored int64 // revision of the copy from which the store came back; changes before it are no longer in the history
}

// NewStore starts an empty store.
func NewStore() *Store { return newStore(standin.OwnHost()) }

// newStore starts an empty store on a loopback host.
func newStore(host string) *Store {
	s := &Store{objects: make(map[string]map[string]Object), changed: make(chan bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	s.mux = mux
	s.server = standin.NewTestServer(host, s)
	return s
}

// ServeHTTP implements http.Handler. Tests call it to stand between a node and the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.calls++
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() { s.server.CloseClientConnections(); s.server.Close() }

// SetDown makes the store respond 503 to every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Copy is the content of a store at one moment.
type Copy struct {
	revision int64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, cloneObjects(s.objects)}
}

// Restore replaces the content by a copy, and with it the count of revisions, which are given out again. The history is lost.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.history = c.revision, cloneObjects(c.objects), nil
	s.restored = c.revision
	close(s.changed)
	s.changed = make(chan bool)
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object)
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// Write stores an object unconditionally, as the operator or a worker does.
func (s *Store) Write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // spec is always a type that can be marshalled
	}
	s.WriteRaw(kind, name, raw)
}

// WriteRaw stores an object unconditionally. Its spec is sent as it is, even if it is no JSON.
func (s *Store) WriteRaw(kind, name string, spec Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Remove deletes an object, if it exists, and notifies watchers.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(change{kind: kind, Object: o, Deleted: true})
}

func (s *Store) put(kind, name string, spec Spec) Object {
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.publish(change{kind: kind, Object: o})
	return o
}

func (s *Store) publish(c change) {
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
	const page = 5 // small, so that tests exercise paging
	more := len(items) > page
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "more_pages": more, "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, since string) {
	from, _ := strconv.ParseInt(since, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if from > s.revision || from < s.restored {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
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
	writeJSON(w, http.StatusOK, o)
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
	if existing, ok := s.objects[kind][o.Metadata.Name]; ok {
		writeJSON(w, http.StatusConflict, existing)
		return
	}
	writeJSON(w, http.StatusOK, s.put(kind, o.Metadata.Name, o.Spec))
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
	existing, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != existing.Metadata.Revision:
		writeJSON(w, http.StatusConflict, existing)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // body is always of a type that can be marshalled
	}
	w.WriteHeader(status)
	_, _ = w.Write(insertSpecs(text))
}

// Has reports whether an object with the given kind and name exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.objects[kind][name]
	return exists
}
