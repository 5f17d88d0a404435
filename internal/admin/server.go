// Package admin answers operators: the administration API, metrics and health.
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
	maxBody      = 16 << 20
	writeTimeout = 10 * time.Second // for the platform's store to take a write
	bearer       = "Bearer "
	profilePath  = "/debug/pprof/"
)

// Options are the parts a Server is made of.
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
	// Bootstrap is the hash of the token that may apply the first configuration.
	Bootstrap string
	// Ready reports whether the node takes requests, and why not.
	Ready func() (bool, string)
}

// Server is the operators' side of a node.
type Server struct {
	Options
	started time.Time
	http    *fasthttp.Server
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{Options: o, started: clock.Now()}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "moorrun", MaxRequestBodySize: maxBody, CloseOnShutdown: true, NoDefaultServerHeader: true,
	}
	return s
}

// Serve answers on lis until Shutdown.
func (s *Server) Serve(lis net.Listener) error { return s.http.Serve(lis) }

// Shutdown stops the server.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// route is one path of the API.
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
		answerError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	s.serve(ctx, r)
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, r route) {
	if string(ctx.Method()) != r.method {
		answerError(ctx, fasthttp.StatusMethodNotAllowed, "use "+r.method)
		return
	}
	scope, ok := s.authorize(ctx)
	if !ok {
		answerError(ctx, fasthttp.StatusUnauthorized, "give an operator's credential as Authorization: Bearer TOKEN")
		return
	}
	if err := r.serve(&request{ctx, scope}); err != nil {
		_ = level.Warn(s.Logger).Log("msg", "administration call failed", "path", string(ctx.Path()), "err", err)
		answerError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	}
}

// request is one authorized call.
type request struct {
	ctx   *fasthttp.RequestCtx
	scope config.Scope
}

func (r *request) answer(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.ctx.SetStatusCode(status)
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(body)
	return nil
}

func (r *request) refuse(status int, message string) error {
	return r.answer(status, adminapi.Problem{Error: message})
}

func answerError(ctx *fasthttp.RequestCtx, status int, message string) {
	_ = (&request{ctx: ctx}).refuse(status, message)
}

// authorize finds out what the operator may change. Before the first configuration the bootstrap token may all.
func (s *Server) authorize(ctx *fasthttp.RequestCtx) (config.Scope, bool) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(header, bearer) {
		return config.Scope{}, false
	}
	token := header[len(bearer):]
	current := s.Current()
	if current == nil {
		hash := config.HashToken(token)
		return config.Scope{Pool: true}, s.Bootstrap != "" && config.SameHash(hash, s.Bootstrap)
	}
	return current.OperatorScope(token)
}

// profile serves Go's profiles to operators of the pool.
func (s *Server) profile(ctx *fasthttp.RequestCtx) {
	if scope, ok := s.authorize(ctx); !ok || !scope.Pool {
		answerError(ctx, fasthttp.StatusUnauthorized, "give a credential of an operator of the pool")
		return
	}
	pprofhandler.PprofHandler(ctx)
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	var page bytes.Buffer
	if err := s.Metrics.Write(&page); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBody(page.Bytes())
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, why := s.Ready()
	if !ok {
		ctx.Error(why+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}
