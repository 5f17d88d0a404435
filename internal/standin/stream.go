package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is one completion at the engine. It can be resumed until resumeWindow after its end, without the connection
// that started it.
type stream struct {
	id        string
	prompt    string
	tokens    int
	mu        sync.Mutex
	produced  int // events
	ended     bool
	aborted   bool
	cancelled bool
	changed   *sync.Cond
}

// completion is the JSON body of a completion request.
type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// CrashPassage is a passage of a prompt that crashes every engine which begins to write on it, whatever else the prompt holds.
const CrashPassage = "a deadly passage"

const (
	prefixHitSpeedup = 5 // divides the prefill time on a prefix cache hit
	defaultTokens    = 16
	resumeWindow     = 20 * time.Second
	// frozenPollInterval is how often a stream checks whether the members of its group are frozen.
	frozenPollInterval = 10 * time.Millisecond
)

// EventText returns the text of the prompt's event number index. Callers use it to check that a response is theirs.
func EventText(prompt string, index int) string { return fmt.Sprintf("%s-%d ", prompt, index) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.Requests.Add(1)
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if e.MisattributeNext.CompareAndSwap(true, false) {
		w.Header().Set("X-Request-Id", "another-request")
		c.Prompt = "another prompt"
	}
	if retryAfter := e.RetryAfterSeconds.Load(); retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(retryAfter, 10))
		http.Error(w, "come back later", http.StatusServiceUnavailable)
		return
	}
	if status := e.acquirePlace(r); status != 0 {
		http.Error(w, "not run", status)
		return
	}
	e.Runs.Add(1)
	if strings.Contains(c.Prompt, CrashPassage) {
		time.Sleep(e.scaled(e.Prefill))
		e.crash()
		return
	}
	s := &stream{id: id, prompt: c.Prompt, tokens: c.MaxTokens}
	s.changed = sync.NewCond(&s.mu)
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	go e.generate(s)
	if c.Stream {
		s.send(w, r, 0)
		return
	}
	s.sendBody(w)
}

// acquirePlace takes a place, waiting for one unless the queue is full. It returns 0, or the status of a refusal.
func (e *Engine) acquirePlace(r *http.Request) int {
	if e.FailAll.Load() {
		return http.StatusInternalServerError
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	group, birth := r.Header.Get("X-Moorrun-Group"), r.Header.Get("X-Moorrun-Group-Birth")
	inGroup := e.state.Group == group && fmt.Sprint(e.state.GroupBirth) == birth
	if !inGroup || !e.ready() || e.state.Role != "leader" {
		return http.StatusConflict
	}
	if e.waiting >= e.order.Places {
		return http.StatusTooManyRequests
	}
	e.waiting++
	for e.running >= e.order.Places {
		e.placeFreed.Wait()
	}
	e.waiting--
	e.running++
	return 0
}

// generate produces the tokens at the engine's speed. Nothing moves while a member of the group is frozen, and the stream is aborted if one
// fails.
func (e *Engine) generate(s *stream) {
	prefill := e.Prefill
	if e.PrefixCacheSize > 0 && e.Cache.Touch(s.prompt, e.PrefixCacheSize) {
		prefill /= prefixHitSpeedup
	}
	time.Sleep(e.scaled(prefill))
	for i := 0; i < s.tokens; i++ {
		if i > 0 {
			time.Sleep(e.scaled(e.TokenInterval))
		}
		e.mu.Lock()
		members, group, birth := e.order.Members, e.state.Group, e.state.GroupBirth
		e.mu.Unlock()
		for e.Registry.anyFrozen(members) && !s.isCancelled() {
			time.Sleep(frozenPollInterval)
		}
		if !s.addEvent(e.Registry.allInGroup(members, group, birth)) {
			break
		}
	}
	s.mu.Lock()
	s.ended = true
	s.changed.Broadcast()
	s.mu.Unlock()
	e.mu.Lock()
	e.running = max(0, e.running-1) // Restart has already reset the count
	e.placeFreed.Broadcast()
	e.mu.Unlock()
	time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	})
}

func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

func (s *stream) addEvent(groupIntact bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelled || !groupIntact {
		s.aborted = true
		s.changed.Broadcast()
		return false
	}
	s.produced++
	s.changed.Broadcast()
	return true
}

// waitEvent waits for the event at index, and reports whether it exists and whether the stream was aborted.
func (s *stream) waitEvent(index int) (ok, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.produced <= index && !s.ended && !s.aborted {
		s.changed.Wait()
	}
	return s.produced > index, s.aborted
}

func (s *stream) send(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for i := from; ; i++ {
		ok, aborted := s.waitEvent(i)
		if aborted && !ok {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			break
		}
		if _, err := fmt.Fprintf(w, "data: {\"index\":%d,\"text\":%q}\n\n", i, EventText(s.prompt, i)); err != nil || r.Context().Err() != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *stream) sendBody(w http.ResponseWriter) {
	text := ""
	for i := 0; ; i++ {
		ok, aborted := s.waitEvent(i)
		if aborted && !ok {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			break
		}
		text += EventText(s.prompt, i)
	}
	writeJSON(w, map[string]string{"text": text})
}

// stream returns the stream with the ID in the request path; if there is none, it responds 404 and returns nil.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[r.PathValue("id")]
	if !ok {
		http.NotFound(w, r)
		return nil
	}
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.stream(w, r)
	if s == nil {
		return
	}
	w.Header().Set("X-Request-Id", s.id)
	s.send(w, r, int(queryInt(r, "from")))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.stream(w, r)
	if s == nil {
		return
	}
	e.Cancelled.Add(1)
	s.mu.Lock()
	s.cancelled = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
