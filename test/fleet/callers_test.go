package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/server"
	"moorrun.dev/moorrun/internal/standin/arrivals"
)

// callers sends requests to the nodes. The endpoints answer each attempt with a server error.
type callers struct {
	record arrivals.Record
	tasks  sync.WaitGroup
}

// handler implements server.Platform.Callers: it passes requests to the gateway without an HTTP connection.
func (c *callers) handler(g *gateway.Gateway, _ func() route.Limits, _ func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := clock.Now()
		c.record.AddRequest(now)
		request := &gateway.Request{
			ID: r.URL.Path, Host: r.Host, Method: r.Method, Path: r.URL.Path, Credential: r.Header.Get("Authorization"), Received: now, CallerTimeout: time.Second,
		}
		g.Serve(r.Context(), request, &failingExchange{record: &c.record, response: w})
	})
}

// load sends perSecond requests a second, in turn to each of the processes that have started, for the given time.
func (c *callers) load(processes []*process, perSecond int, d time.Duration) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if n := processes[i%len(processes)].server.Load(); n != nil {
			c.tasks.Go(func() { c.request(n) })
		}
	}
}

func (c *callers) request(n *server.Server) {
	r := httptest.NewRequest(http.MethodGet, "http://h0.example/p0", nil)
	r.Header.Set("Authorization", workspaceKey(0))
	n.CallerHandler().ServeHTTP(httptest.NewRecorder(), r)
}

// failingExchange is the exchange of one request whose every attempt fails with a server error. Arrivals after the first count
// as retries.
type failingExchange struct {
	record   *arrivals.Record
	response http.ResponseWriter
	arrived  bool
}

func (x *failingExchange) Send(context.Context, gateway.Attempt) (gateway.Reply, error) {
	time.Sleep(callLatency)
	if x.arrived {
		x.record.AddRetry(time.Now())
	}
	x.arrived = true
	return serverError{}, nil
}

func (x *failingExchange) WriteAnswer(gateway.Reply, []byte) error {
	x.response.WriteHeader(http.StatusInternalServerError)
	return nil
}
func (x *failingExchange) BeginStream(gateway.Reply) error { return nil }
func (x *failingExchange) WriteEvent(gateway.Event) error  { return nil }
func (x *failingExchange) Refuse(gateway.Refusal) {
	x.response.WriteHeader(http.StatusServiceUnavailable)
}
func (x *failingExchange) Abort() {}

// serverError is the answer of an endpoint that fails.
type serverError struct{}

func (serverError) Head(time.Time) (gateway.Head, error) {
	return gateway.Head{Status: http.StatusInternalServerError}, nil
}
func (serverError) Body(time.Time) ([]byte, error)        { return nil, nil }
func (serverError) Next(time.Time) (gateway.Event, error) { return gateway.Event{}, nil }
func (serverError) Close()                                {}
