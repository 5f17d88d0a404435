// Package admin implements a node's HTTP server for operators: the administration API, metrics, health checks and
// profiles.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/domains"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/metrics"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/routing"
)

const (
	maxBodyBytes = 16 << 20
	storeTimeout = 10 * time.Second // for all calls to the platform's store by one request, writes included
	bearerPrefix = "Bearer "
	profilePath  = "/debug/pprof/"
)

// Options holds the components of the node that a Server uses.
type Options struct {
	Store       *accept.Store
	Objects     infra.ObjectStore
	Current     func() *config.Config
	Members     *membership.Table
	Mirror      *mirror.Mirror
	Drains      *drains.Reader
	Assignments *domains.Reader
	Router      *routing.Router
	Admission   *admission.Admission
	Burn        *burn.Recorder
	Losses      func() []burn.GroupLosses
	Checker     *invariant.Checker
	Metrics     *metrics.Reporter
	Logger      log.Logger
	// Bootstrap is the hash of the token that may apply the first configuration. Empty means that there is none.
	Bootstrap string
	// Ready reports whether the node accepts requests, and if not, the reason.
	Ready func() (bool, string)
}

// Server is a node's HTTP server for operators.
type Server struct {
	Options
	started time.Time
	http    *fasthttp.Server
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{Options: o, started: clock.Now()}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "moorrun", MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, NoDefaultServerHeader: true,
	}
	return s
}

// Serve serves connections on lis until Shutdown is called.
func (s *Server) Serve(lis net.Listener) error { return s.http.Serve(lis) }

// Shutdown closes the listeners and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// route is the method and the handler of one path of the API.
type route struct {
	method string
	serve  func(*request) error
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/metrics":
		s.metrics(ctx)
		return
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.ready(ctx)
		return
	}
	routes := map[string]route{
		adminapi.PathRevision:      {fasthttp.MethodGet, s.revision},
		adminapi.PathConfiguration: {fasthttp.MethodGet, s.configuration},
		adminapi.PathApply:         {fasthttp.MethodPost, s.apply},
		adminapi.PathStatus:        {fasthttp.MethodGet, s.status},
		adminapi.PathInForce:       {fasthttp.MethodGet, s.inForce},
		adminapi.PathDrain:         {fasthttp.MethodPost, s.drain},
		adminapi.PathBurn:          {fasthttp.MethodGet, s.burn},
	}
	if strings.HasPrefix(path, profilePath) {
		s.profile(ctx)
		return
	}
	r, ok := routes[path]
	if strings.HasPrefix(path, adminapi.PathOperation) {
		r, ok = route{fasthttp.MethodGet, s.operation}, true
	}
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	s.serve(ctx, r)
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, r route) {
	if string(ctx.Method()) != r.method {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "use "+r.method)
		return
	}
	scope, ok := s.authorize(ctx)
	if !ok {
		writeError(ctx, fasthttp.StatusUnauthorized, "give an operator's credential as Authorization: Bearer TOKEN")
		return
	}
	if err := r.serve(&request{ctx, scope}); err != nil {
		_ = level.Warn(s.Logger).Log("msg", "administration call failed", "path", string(ctx.Path()), "err", err)
		writeError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	}
}

// request is one authorized API call.
type request struct {
	ctx   *fasthttp.RequestCtx
	scope config.Scope
}

func (r *request) respond(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.ctx.SetStatusCode(status)
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(body)
	return nil
}

func (r *request) respondError(status int, message string) error {
	return r.respond(status, adminapi.Problem{Error: message})
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	_ = (&request{ctx: ctx}).respondError(status, message)
}

// authorize returns the scope of the operator whose token the request carries. Until a first configuration is in force,
// only the bootstrap token is accepted, with the scope of the whole pool.
func (s *Server) authorize(ctx *fasthttp.RequestCtx) (config.Scope, bool) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(header, bearerPrefix) {
		return config.Scope{}, false
	}
	token := header[len(bearerPrefix):]
	current := s.Current()
	if current == nil {
		hash := config.HashToken(token)
		return config.Scope{Pool: true}, s.Bootstrap != "" && config.SameHash(hash, s.Bootstrap)
	}
	return current.OperatorScope(token)
}

// profile serves the Go runtime's profiles to operators of the pool.
func (s *Server) profile(ctx *fasthttp.RequestCtx) {
	if scope, ok := s.authorize(ctx); !ok || !scope.Pool {
		writeError(ctx, fasthttp.StatusUnauthorized, "give a credential of an operator of the pool")
		return
	}
	pprofhandler.PprofHandler(ctx)
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	var text bytes.Buffer
	if err := s.Metrics.Write(&text); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBody(text.Bytes())
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, reason := s.Ready()
	if !ok {
		ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
