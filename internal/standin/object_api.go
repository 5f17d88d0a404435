// Package standin emulates the platform, the model engines and plain services for tests, the demo and measurements.
// moorrund does not import it.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// ObjectAPI is an in-memory object store with versions, conditional writes, watches and fault injection.
type ObjectAPI struct {
	*Server
	Down              atomic.Bool  // responds 503 and applies nothing
	DelayMillis       atomic.Int64 // added latency per call
	DropNextResponses atomic.Int64 // number of next writes that are applied without a response
	DropKeyPrefix     atomic.Value // string: limits DropNextResponses to keys with this prefix
	Calls             *CallCounter // the calls that the platform would bill
	mu                sync.Mutex
	objects           map[string]infra.Object
	version           int64
	changed           chan struct{}
}

// StartObjectAPI starts an empty store on a loopback host.
func StartObjectAPI(host string) (*ObjectAPI, error) {
	s := &ObjectAPI{objects: make(map[string]infra.Object), changed: make(chan struct{}), Calls: NewCallCounter()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", s.list)
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("GET /objects/{key...}", s.get)
	mux.HandleFunc("PUT /objects/{key...}", s.write)
	mux.HandleFunc("DELETE /objects/{key...}", s.write)
	var err error
	s.Server, err = StartServer(anyPort(host), s.withFaults(mux))
	return s, err
}

func (s *ObjectAPI) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Calls.Add(r.Method != http.MethodGet)
		if delay := s.DelayMillis.Load(); delay > 0 {
			time.Sleep(time.Duration(delay) * time.Millisecond)
		}
		if s.Down.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func queryInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *ObjectAPI) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.Object(r.PathValue("key"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, o)
}

// Object returns the object under key, or false if there is none or it is deleted.
func (s *ObjectAPI) Object(key string) (infra.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok && !o.Deleted
}

func (s *ObjectAPI) write(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	o := infra.Object{Key: key, Deleted: r.Method == http.MethodDelete}
	if !o.Deleted {
		if err := json.NewDecoder(r.Body).Decode(&o.Value); err != nil || len(o.Value) > infra.MaxValueBytes {
			http.Error(w, "bad value", http.StatusBadRequest)
			return
		}
	}
	version, ok := s.put(o, queryInt(r, "if_version"))
	if !ok {
		http.Error(w, "version has moved on", http.StatusConflict)
		return
	}
	prefix, _ := s.DropKeyPrefix.Load().(string)
	if s.DropNextResponses.Load() > 0 && strings.HasPrefix(key, prefix) {
		s.DropNextResponses.Add(-1)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, infra.Object{Key: key, Version: version})
}

func (s *ObjectAPI) put(o infra.Object, ifVersion int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.objects[o.Key]
	current := existing.Version
	if existing.Deleted {
		current = 0
	}
	if current != ifVersion {
		return 0, false
	}
	s.version++
	o.Version = s.version
	s.objects[o.Key] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version, true
}

func (s *ObjectAPI) list(w http.ResponseWriter, r *http.Request) {
	l, _ := s.changedAfter(r.URL.Query().Get("prefix"), 0)
	live := l.Objects[:0]
	for _, o := range l.Objects {
		if !o.Deleted {
			live = append(live, o)
		}
	}
	l.Objects = live
	writeJSON(w, l)
}

func (s *ObjectAPI) changedAfter(prefix string, after int64) (infra.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := infra.Listing{Version: s.version, Objects: []infra.Object{}}
	for key, o := range s.objects {
		if o.Version > after && strings.HasPrefix(key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, s.changed
}

func (s *ObjectAPI) watch(w http.ResponseWriter, r *http.Request) {
	end := time.After(time.Duration(queryInt(r, "wait_ms")) * time.Millisecond)
	for {
		l, changed := s.changedAfter(r.URL.Query().Get("prefix"), queryInt(r, "after"))
		if len(l.Objects) > 0 || s.Down.Load() {
			writeJSON(w, l)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}
