package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PlainEndpoint is an endpoint of a plain service that counts each run by the caller's own mark.
type PlainEndpoint struct {
	*Server
	DelayMillis       atomic.Int64 // before each answer, after the run
	FailAll           atomic.Bool  // answers 500 to every call without running it
	RetryAfterSeconds atomic.Int64 // seconds of Retry-After with which it refuses every call; 0: it does not
	Refused           atomic.Int64 // calls refused so far
	AbortNext         atomic.Int64 // that many next calls run and their answers are cut
	Aborted           atomic.Int64 // answers cut so far

	mu      sync.Mutex
	runs    map[string]int
	running int
	most    int // of running, ever
}

// MarkHeader names the call in Plain's count.
const MarkHeader = "X-Mark"

// StartPlainEndpoint starts an endpoint.
func StartPlainEndpoint() (*PlainEndpoint, error) {
	p := &PlainEndpoint{runs: make(map[string]int)}
	var err error
	p.Server, err = StartServer("127.0.0.1:0", http.HandlerFunc(p.run))
	return p, err
}

func (p *PlainEndpoint) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if p.FailAll.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if pause := p.RetryAfterSeconds.Load(); pause > 0 {
		p.Refused.Add(1)
		w.Header().Set("Retry-After", strconv.FormatInt(pause, 10))
		http.Error(w, "come back later", http.StatusServiceUnavailable)
		return
	}
	p.begin(r.Header.Get(MarkHeader))
	defer p.end()
	time.Sleep(time.Duration(p.DelayMillis.Load()) * time.Millisecond)
	if p.AbortNext.Load() > 0 {
		p.AbortNext.Add(-1)
		p.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = fmt.Fprintf(w, "%s %s %d bytes for %s\n", r.Method, r.URL.Path, len(body), r.Header.Get(MarkHeader))
}

func (p *PlainEndpoint) begin(mark string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[mark]++
	p.running++
	p.most = max(p.most, p.running)
}

func (p *PlainEndpoint) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// MaxConcurrent returns how many calls were running at a time at the most.
func (p *PlainEndpoint) MaxConcurrent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

// Runs returns how often the call of that mark has run.
func (p *PlainEndpoint) Runs(mark string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[mark]
}
