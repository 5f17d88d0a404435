// Package entry answers callers: it checks their requests, waits for places, sends the requests to
// replica groups or plain endpoints and passes the answers on whole.
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
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/peer"
	"moorrun.dev/moorrun/internal/routing"
)

const (
	// contactLimit is how long a node serves new requests without hearing anyone.
	contactLimit = 3 * time.Second
	maxBody      = 4 << 20
	maxHeader    = 16 << 10
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	// writeTimeout ends an answer that its caller does not read, and gives its place back; no request may take
	// longer.
	writeTimeout = maxDeadline + readTimeout
)

// Options are the parts a Server is made of.
type Options struct {
	Current   func() *config.Config
	Contact   *peer.Contact
	Members   *membership.Table
	Router    *routing.Router
	Services  *routing.Services
	Admission *admission.Admission // to places of replica groups
	// ServiceAdmission is that to places of plain services' endpoints.
	ServiceAdmission *admission.Admission
	Calls            *httpcall.Client
	Engine           infra.Engine
	Once             *once.Book
	Burn             *burn.Recorder
	Checker          *invariant.Checker
	Scope            tally.Scope
	Logger           log.Logger
	// AddressLifetime is how long a caller may keep the answer to which address to use.
	AddressLifetime time.Duration
}

// Server is the callers' side of a node.
type Server struct {
	Options
	budget   *retryBudget
	meters   meters
	http     *fasthttp.Server
	inflight atomic.Int64

	mu       sync.Mutex
	draining bool
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{
		Options: o, budget: newRetryBudget(),
		meters: newMeters(o.Scope),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "moorrun", MaxRequestBodySize: maxBody, ReadBufferSize: maxHeader,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, CloseOnShutdown: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, DisablePreParseMultipartForm: true,
		ErrorHandler: refuseUnread,
	}
	return s
}

// refuseUnread answers a request that could not be read.
func refuseUnread(ctx *fasthttp.RequestCtx, err error) {
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

// Serve answers on lis until Shutdown.
func (s *Server) Serve(lis net.Listener) error { return s.http.Serve(lis) }

// Drain makes every answer ask its caller to close the connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Shutdown stops listening and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Inflight returns how many requests are being worked on.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/v1/which":
		s.which(ctx)
		return
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	}
	id := requestID(ctx)
	s.inflight.Add(1)
	f := s.dispatch(ctx, path, id)
	if f != nil {
		s.doubt(ctx, f)
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
	c, f := s.open(ctx, id)
	if f != nil {
		return f
	}
	switch {
	case path == "/v1/completions":
		return s.complete(c)
	case path == "/v1/resume":
		return s.resume(c)
	case path == "/v1/keys":
		return s.keys(c)
	case strings.HasPrefix(path, servicesPath):
		return s.service(c, path)
	default:
		return notRun(fasthttp.StatusNotFound, "no such path; see /v1/completions, /v1/keys, /v1/which and /services/NAME/")
	}
}
