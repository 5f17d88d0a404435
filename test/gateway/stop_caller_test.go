package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/standin/estate"
)

// stopCaller is one caller.
type stopCaller struct {
	*stopSoak
	random    *rand.Rand
	client    *http.Client
	addresses []string
	asked     time.Time
	holds     time.Duration
}

func (s *stopSoak) newCaller(seed uint64, i int) *stopCaller {
	holds := addressLifetime
	if i%3 == 0 {
		holds = 3 * addressLifetime
	}
	return &stopCaller{
		stopSoak: s, random: rand.New(rand.NewPCG(seed, uint64(100+i))), holds: holds, //nolint:gosec // a seeded test
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}},
	}
}

func (c *stopCaller) run() {
	for !c.ended.Load() {
		if address := c.pickAddress(); address != "" {
			c.send(address)
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// pickAddress returns one of the addresses that the caller holds. It asks for new ones once they are too old.
func (c *stopCaller) pickAddress() string {
	if time.Since(c.asked) > c.holds || len(c.addresses) == 0 {
		if list := c.resolve(); len(list) > 0 {
			c.addresses, c.asked = list, time.Now()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.random.IntN(len(c.addresses))]
}

func (c *stopCaller) resolve() []string {
	for _, i := range c.random.Perm(len(c.nodes)) {
		r, err := http.Get("http://" + c.nodes[i].settings.RegistryAddress + "/v1/resolve?name=h.example&zone=z1")
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(r.Body).Decode(&list)
		_ = r.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses
		}
	}
	return nil
}

// sentRequest is a request of a caller and what came of it.
type sentRequest struct {
	id, path, address string
	timeout           time.Duration // that the caller has announced
	sent, ended       time.Time

	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to an address and judges what comes back.
func (c *stopCaller) send(address string) {
	q := &sentRequest{id: fmt.Sprint("stop-", c.requests.Add(1)), address: address, timeout: stopTimeout, path: []string{"/lm/x", "/lm/x", "/lm/x", "/once/x", "/again/x"}[c.random.IntN(5)]}
	if c.random.IntN(3) == 0 {
		q.timeout = time.Duration(300+c.random.IntN(3000)) * time.Millisecond
	}
	body := io.Reader(strings.NewReader("body"))
	if c.random.IntN(6) == 0 {
		body = &slowBody{pause: time.Duration(c.random.IntN(600)) * time.Millisecond}
	}
	q.sent = time.Now()
	c.do(q, body)
	q.ended = time.Now()
	if q.status == 0 || q.status == http.StatusServiceUnavailable { // the caller tries other addresses first
		c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == address })
		c.client.CloseIdleConnections()
	}
	c.judge(q)
}

func (c *stopCaller) do(q *sentRequest, body io.Reader) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+q.address+q.path, body)
	if err != nil {
		q.err = err
		return
	}
	r.Host = "h.example"
	for name, value := range map[string]string{
		"X-Moorrun-Attempt-Id": q.id, "X-Moorrun-Model": "m", "Authorization": "Bearer key-1", "X-Moorrun-Deadline-Ms": fmt.Sprint(q.timeout.Milliseconds()),
	} {
		r.Header.Set(name, value)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer answer.Body.Close() //nolint:errcheck // the body is read to its end
	read, err := io.ReadAll(answer.Body)
	q.status, q.header, q.body, q.err = answer.StatusCode, answer.Header, string(read), err
}

// slowBody is a body in two parts.
type slowBody struct {
	pause time.Duration
	parts int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	b.parts++
	switch b.parts {
	case 1:
		return copy(p, "bo"), nil
	case 2:
		time.Sleep(b.pause)
		return copy(p, "dy"), nil
	default:
		return 0, io.EOF
	}
}

// isWhole reports whether the caller got the whole answer to its own request.
func (q *sentRequest) isWhole() bool {
	if q.err != nil || q.status != http.StatusOK {
		return false
	}
	if q.path != "/lm/x" {
		return q.body == "whole answer to "+q.id
	}
	var want strings.Builder
	for i := range estate.EventsPerStream {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i+1, q.id)
	}
	return q.body == want.String()
}

// isOverdue reports whether the request's time was over when it ended.
func (q *sentRequest) isOverdue() bool {
	timeout := q.timeout
	if q.path != "/lm/x" {
		timeout = min(timeout, estate.PlainTimeout)
	}
	return q.ended.Sub(q.sent) >= timeout
}

// judge counts a request by its outcome, and records a violation if that is none that the stop of a node may lead to.
func (c *stopCaller) judge(q *sentRequest) {
	runs := len(c.platform.Runs(q.id))
	c.mu.Lock()
	defer c.mu.Unlock()
	stop, near := c.stopOf(q)
	c.countFirstTry(q, near)
	outcome := ""
	switch {
	case q.path == "/once/x" && runs > 1:
	case q.isWhole():
		outcome = "whole"
	case q.status == http.StatusServiceUnavailable && q.err == nil && runs == 0 && q.header.Get("Retry-After") != "":
		outcome = "refused"
	case q.isOverdue() && (q.status == http.StatusGatewayTimeout && q.err == nil || q.status == http.StatusOK && q.err != nil):
		outcome = "overdue"
	case q.status == 0 && runs == 0:
		outcome = "unread"
	case stop != nil && !stop.killed.IsZero() && !q.ended.Before(stop.killed):
		outcome = "killed"
	case stop != nil && c.mayOutlive(q, stop):
		outcome = "outlived the grace period"
	}
	if outcome == "" {
		c.violations = append(c.violations, fmt.Sprintf("%s %s after %v of %v: status %d, %d bytes, %d runs, %v", q.id, q.path, q.ended.Sub(q.sent), q.timeout, q.status, len(q.body), runs, q.err))
		outcome = "violations"
	}
	c.outcomes[outcome]++
}

// mayOutlive reports whether a request was sent before the node noticed the signal and has been given up, or answered as given up, at the end of the grace
// period.
func (c *stopCaller) mayOutlive(q *sentRequest, stop *nodeStop) bool {
	finish := max(0, min(c.grace*94/100, c.grace*97/100-50*time.Millisecond))
	before := stop.told.IsZero() || q.sent.Before(stop.told)
	return before && q.ended.Sub(stop.signalled) >= finish && (q.status == http.StatusBadGateway && q.err == nil || q.status == http.StatusOK && q.err != nil)
}

// stopOf returns the stop of the request's node during which it ran, or nil, and whether it was sent near a stop of its node.
func (c *stopCaller) stopOf(q *sentRequest) (stop *nodeStop, near bool) {
	for _, s := range c.stops[q.address] {
		if !q.ended.Before(s.signalled) && (s.exited.IsZero() || !q.sent.After(s.exited)) {
			stop = s
		}
		if q.sent.After(s.signalled.Add(-nearStop)) && (s.exited.IsZero() || !q.sent.After(s.exited)) {
			near = true
		}
	}
	return stop, near
}

func (c *stopCaller) countFirstTry(q *sentRequest, near bool) {
	count := &c.far
	if near {
		count = &c.near
	}
	count.sent++
	if q.isWhole() {
		count.answered++
		count.took = append(count.took, q.ended.Sub(q.sent))
	}
}
