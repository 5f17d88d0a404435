package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/verdict"
)

// doubt corrects a refusal that says "not run" of a keyed request: an earlier send of it may have run, and
// only the key's home knows.
func (s *Server) doubt(ctx *fasthttp.RequestCtx, f *failure) {
	text := ctx.Request.Header.Peek(keyHeader)
	if f.verdict != verdict.NotRun || len(text) == 0 {
		return
	}
	key, err := once.ParseKey(string(text))
	self := s.Members.Self(clock.Now())
	atHome := key.VM == self.VM && key.Incarnation == self.Incarnation
	if err == nil && (!atHome || s.Once.Knows(key)) {
		f.verdict = verdict.MayHaveRun
	}
}

// forward sends a keyed request to the key's home. When the home is gone or does not answer, nobody
// knows whether the request ran.
func (s *Server) forward(p *plainCall, key once.Key) *failure {
	if len(p.ctx.Request.Header.Peek(forwardedHeader)) > 0 {
		return homeLost("the key's home is not this address")
	}
	home, ok := s.Members.Get(key.VM)
	if !ok || home.Incarnation != key.Incarnation {
		return homeLost("the key's home is gone")
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	p.ctx.Request.CopyTo(request)
	request.SetHost(home.CallerAddress)
	request.Header.Set(forwardedHeader, s.Members.Self(p.started).VM)
	request.Header.Set(requestIDHeader, p.id)
	answer, err := s.Calls.Do(context.WithoutCancel(p.ctx), home.CallerAddress, request,
		httpcall.Options{Timeout: p.left(), Fresh: true, MaxBody: maxPlainBody})
	if err != nil {
		return homeLost("the key's home does not answer")
	}
	defer answer.Close() //nolint:errcheck // the answer is read whole
	response := &p.ctx.Response
	copyResponseHeaders(&response.Header, &answer.Response.Header)
	response.SetStatusCode(answer.Response.StatusCode())
	if len(response.Header.Peek(verdict.Header)) == 0 {
		response.Header.Set(verdict.Header, verdict.MayHaveRun.String())
	}
	response.SetBody(answer.Response.Body())
	return nil
}
