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

// PlainEndpoint is an endpoint of a plain service. It counts how often each call runs, by the mark that the caller sets
// in MarkHeader.
type PlainEndpoint struct {
	*Server
	DelayMillis       atomic.Int64 // delay before each response, while the call counts as running
	FailAll           atomic.Bool  // responds 500 to every call without running it
	RetryAfterSeconds atomic.Int64 // if not 0, refuses every call with 503 and this Retry-After
	Refused           atomic.Int64 // calls refused because of RetryAfterSeconds
	PauseWithinMillis atomic.Int64 // if not 0, responds without a length and pauses for this time within the response
	AbortNext         atomic.Int64 // number of next calls that run without a response
	Aborted           atomic.Int64 // calls aborted because of AbortNext

	mu         sync.Mutex
	runs       map[string]int
	running    int
	maxRunning int
}

// MarkHeader is the request header with the mark by which PlainEndpoint counts runs.
const MarkHeader = "X-Mark"

// StartPlainEndpoint starts an endpoint without faults on a loopback host.
func StartPlainEndpoint(host string) (*PlainEndpoint, error) {
	p := &PlainEndpoint{runs: make(map[string]int)}
	var err error
	p.Server, err = StartServer(anyPort(host), http.HandlerFunc(p.run))
	return p, err
}

func (p *PlainEndpoint) run(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if p.FailAll.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if retryAfter := p.RetryAfterSeconds.Load(); retryAfter > 0 {
		p.Refused.Add(1)
		w.Header().Set("Retry-After", strconv.FormatInt(retryAfter, 10))
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
	id, answer := r.Header.Get("X-Request-Id"), fmt.Sprintf("%s %s %d bytes for %s\n", r.Method, r.URL.Path, len(body), r.Header.Get(MarkHeader))
	if pause := p.PauseWithinMillis.Load(); pause > 0 {
		respondInTwoParts(w, id, answer, time.Duration(pause)*time.Millisecond)
		return
	}
	w.Header().Set("X-Request-Id", id)
	_, _ = io.WriteString(w, answer)
}

// respondInTwoParts writes a response whose end is that of its connection, with a pause within the body.
func respondInTwoParts(w http.ResponseWriter, id, answer string, pause time.Duration) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the response ends with it
	half := len(answer) / 2
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: %s\r\n\r\n%s", id, answer[:half])
	_ = out.Flush()
	time.Sleep(pause)
	_, _ = out.WriteString(answer[half:])
	_ = out.Flush()
}

func (p *PlainEndpoint) begin(mark string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[mark]++
	p.running++
	p.maxRunning = max(p.maxRunning, p.running)
}

func (p *PlainEndpoint) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// MaxConcurrent returns the maximum number of calls that ran concurrently.
func (p *PlainEndpoint) MaxConcurrent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxRunning
}

// Runs returns how often the call with the given mark has run.
func (p *PlainEndpoint) Runs(mark string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[mark]
}
