// Package entry serves callers: it checks their requests, waits for places (each the right to run one request),
// sends the requests to replica groups or to the endpoints of plain services, which serve no model, and relays
// the answers. A caller can tell a truncated answer from a complete one.
package entry

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/peer"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/routing"
)

const (
	// maxContactAge is how long a node accepts new requests without contact with the platform or another node.
	maxContactAge         = 3 * time.Second
	maxRequestBodyBytes   = 4 << 20
	maxRequestHeaderBytes = 16 << 10
	readTimeout           = 30 * time.Second
	idleTimeout           = 60 * time.Second
	// writeTimeout ends an answer that its caller does not read and releases its place. It exceeds maxTimeout,
	// so no request takes longer.
	writeTimeout = maxTimeout + readTimeout
)

// Options are the dependencies and settings of a Server.
type Options struct {
	Current   func() *config.Config
	Contact   *peer.Contact
	Members   *membership.Table
	Router    *routing.Router
	Services  *routing.Services
	Admission *admission.Admission // grants places of replica groups
	// ServiceAdmission grants places of the endpoints of plain services.
	ServiceAdmission *admission.Admission
	Calls            *httpcall.Client
	Engine           infra.Engine
	Quarantine       *quarantine.Table // requests under which engines have ended
	Once             *once.ClaimStore
	Burn             *burn.Recorder
	Checker          *invariant.Checker
	Scope            tally.Scope
	Logger           log.Logger
	// AddressLifetime is how long a caller may cache the answer of /v1/which.
	AddressLifetime time.Duration
}

// Server is the HTTP server of a node for callers.
type Server struct {
	Options
	budget  *retryBudget
	metrics metrics
	http    *fasthttp.Server
	// investigator finds out whether an engine has ended while it had a request.
	investigator *quarantine.Investigator
	inflight     atomic.Int64

	mu       sync.Mutex
	draining bool
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{
		Options: o, budget: newRetryBudget(clock.Now()),
		metrics: newMetrics(o.Scope),
	}
	s.investigator = &quarantine.Investigator{
		Table: o.Quarantine, Directory: engines{s}, Probe: s.probeEngine, OnEnding: func(bool) {}, Logger: o.Logger,
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "moorrun", MaxRequestBodySize: maxRequestBodyBytes, ReadBufferSize: maxRequestHeaderBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, CloseOnShutdown: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, DisablePreParseMultipartForm: true,
		ErrorHandler: handleReadError,
	}
	return s
}

// handleReadError answers a request that the HTTP server could not read or parse.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch {
	case strings.Contains(err.Error(), "body size exceeds"):
		status = fasthttp.StatusRequestEntityTooLarge
	case strings.Contains(err.Error(), "small read buffer"):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	notRun(status, "the request cannot be read: "+err.Error()).write(ctx, requestID(ctx))
	ctx.SetConnectionClose()
}

// Serve serves connections from lis until Shutdown.
func (s *Server) Serve(lis net.Listener) error { return s.http.Serve(lis) }

// Drain makes the server close each connection after its next answer.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Shutdown stops listening and waits for the requests in flight, at most until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Inflight returns the number of requests in progress, including answers that are still streaming.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/v1/which":
		s.serveAddresses(ctx)
		return
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	}
	id := requestID(ctx)
	s.inflight.Add(1)
	f := s.dispatch(ctx, path, id)
	if f != nil {
		s.correctVerdict(ctx, f)
		f.write(ctx, id)
		_ = level.Info(s.Logger).Log("msg", "refused", "request_id", id, "path", path, "status", f.status,
			"verdict", f.verdict.String(), "err", f.message)
	}
	if !ctx.Response.IsBodyStream() {
		s.inflight.Add(-1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		ctx.SetConnectionClose()
	}
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx, path, id string) *failure {
	c, f := s.prepareCall(ctx, id)
	if f != nil {
		return f
	}
	switch {
	case path == "/v1/completions":
		return s.serveCompletion(c)
	case path == "/v1/resume":
		return s.resume(c)
	case path == "/v1/keys":
		return s.keys(c)
	case strings.HasPrefix(path, servicesPath):
		return s.serveService(c, path)
	default:
		return notRun(fasthttp.StatusNotFound, "no such path; see /v1/completions, /v1/keys, /v1/which and /services/NAME/")
	}
}
