package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests to a machine over kept connections.
type client struct {
	host      string // name in the Host header
	transport *http.Transport
	attempts  *atomic.Int64
}

// attempt is one attempt of a client.
type attempt struct {
	id, key string
	sent    time.Time
	status  int // 0 if there was no answer
	verdict string
	err     error
}

func newClient(host string) *client {
	return &client{host: host, transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 20 * time.Second}, attempts: &atomic.Int64{}}
}

// send sends one request and reads its answer.
func (c *client) send(front, method, path, key string, deadline time.Duration) attempt {
	a := attempt{id: fmt.Sprintf("%016x", c.attempts.Add(1)), key: key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = c.host
	r.Header.Set("X-Moorrun-Attempt-Id", a.id)
	r.Header.Set("X-Moorrun-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	answer, err := c.transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer answer.Body.Close() //nolint:errcheck // it is read to its end
	body, err := io.ReadAll(answer.Body)
	a.status, a.err, a.verdict = answer.StatusCode, err, strings.TrimSpace(string(body))
	return a
}

// load sends requests at a steady rate until it is stopped.
type load struct {
	mu       sync.Mutex
	attempts []attempt
	running  sync.WaitGroup
	stop     chan struct{}
}

// startLoad sends perSecond requests a second; next returns what to send.
func startLoad(perSecond int, send func() attempt) *load {
	l := &load{stop: make(chan struct{})}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	l.running.Go(func() {
		defer tick.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-tick.C:
				l.running.Go(func() {
					a := send()
					l.mu.Lock()
					defer l.mu.Unlock()
					l.attempts = append(l.attempts, a)
				})
			}
		}
	})
	return l
}

// end stops the load and returns all attempts.
func (l *load) end() []attempt {
	close(l.stop)
	l.running.Wait()
	return l.attempts
}
