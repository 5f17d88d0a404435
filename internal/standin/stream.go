package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stream is one completion at the engine; it outlives its connection for a while, to be resumed.
type stream struct {
	id      string
	prompt  string
	tokens  int
	mu      sync.Mutex
	made    int // events ready to be sent
	ended   bool
	cut     bool
	stopped bool
	more    *sync.Cond
}

// completion is the body of a request.
type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

const (
	hitSpeedup    = 5 // of the prefill when the cache holds the prompt's beginning
	defaultTokens = 16
	resumableFor  = 20 * time.Second
)

// EventText is the text of a prompt's event, so that callers can check that an answer is theirs.
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
	if pause := e.RetryAfterSeconds.Load(); pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(pause, 10))
		http.Error(w, "come back later", http.StatusServiceUnavailable)
		return
	}
	if status := e.begin(r); status != 0 {
		http.Error(w, "not run", status)
		return
	}
	e.Runs.Add(1)
	s := &stream{id: id, prompt: c.Prompt, tokens: c.MaxTokens}
	s.more = sync.NewCond(&s.mu)
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	go e.generate(s)
	if c.Stream {
		s.send(w, r, 0)
		return
	}
	s.sendWhole(w)
}

// begin takes a place, waiting for one while the queue is short; it returns a status for a refusal.
func (e *Engine) begin(r *http.Request) int {
	if e.FailAll.Load() {
		return http.StatusInternalServerError
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	group, birth := r.Header.Get("X-Moorrun-Group"), r.Header.Get("X-Moorrun-Group-Birth")
	right := e.state.Group == group && fmt.Sprint(e.state.GroupBirth) == birth
	if !right || !e.ready() || e.state.Role != "leader" {
		return http.StatusConflict
	}
	if e.waiting >= e.order.Places {
		return http.StatusTooManyRequests
	}
	e.waiting++
	for e.running >= e.order.Places {
		e.freed.Wait()
	}
	e.waiting--
	e.running++
	return 0
}

// generate makes the tokens at the engine's pace, as long as the group is whole.
func (e *Engine) generate(s *stream) {
	prefill := e.Prefill
	if e.PrefixCacheSize > 0 && e.Cache.Touch(s.prompt, e.PrefixCacheSize) {
		prefill /= hitSpeedup
	}
	time.Sleep(e.pace(prefill))
	for i := 0; i < s.tokens; i++ {
		if i > 0 {
			time.Sleep(e.pace(e.TokenInterval))
		}
		e.mu.Lock()
		members, group, birth := e.order.Members, e.state.Group, e.state.GroupBirth
		e.mu.Unlock()
		if !s.add(e.Registry.whole(members, group, birth)) {
			break
		}
	}
	s.mu.Lock()
	s.ended = true
	s.more.Broadcast()
	s.mu.Unlock()
	e.mu.Lock()
	e.running = max(0, e.running-1) // a restart has counted it already
	e.freed.Broadcast()
	e.mu.Unlock()
	time.AfterFunc(resumableFor, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.id] == s {
			delete(e.streams, s.id)
		}
	})
}

func (s *stream) add(whole bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || !whole {
		s.cut = true
		s.more.Broadcast()
		return false
	}
	s.made++
	s.more.Broadcast()
	return true
}

// next waits for the event of that index and reports whether there is one.
func (s *stream) next(index int) (ok, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.made <= index && !s.ended && !s.cut {
		s.more.Wait()
	}
	return s.made > index, s.cut
}

func (s *stream) send(w http.ResponseWriter, r *http.Request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for i := from; ; i++ {
		ok, cut := s.next(i)
		if cut && !ok {
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

func (s *stream) sendWhole(w http.ResponseWriter) {
	text := ""
	for i := 0; ; i++ {
		ok, cut := s.next(i)
		if cut && !ok {
			panic(http.ErrAbortHandler)
		}
		if !ok {
			break
		}
		text += EventText(s.prompt, i)
	}
	answerJSON(w, map[string]string{"text": text})
}

// stream returns the stream that the request names, or answers that there is none and returns nil.
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
	s.send(w, r, int(number(r, "from")))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.stream(w, r)
	if s == nil {
		return
	}
	e.Cancelled.Add(1)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
