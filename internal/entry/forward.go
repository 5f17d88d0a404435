package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/verdict"
)

// correctVerdict changes the verdict "not run" for a request with a valid idempotency key to "may have run", unless
// this process is the key's home and has no record of the key. An earlier send of the request may have run, and
// only the key's home has a record of it.
func (s *Server) correctVerdict(ctx *fasthttp.RequestCtx, f *failure) {
	text := ctx.Request.Header.Peek(keyHeader)
	if f.verdict != verdict.NotRun || len(text) == 0 {
		return
	}
	key, err := once.ParseKey(string(text))
	self := s.Members.Self(clock.Now())
	atHome := key.VM == self.VM && key.Incarnation == self.Incarnation
	if err == nil && (!atHome || s.Once.Contains(key)) {
		f.verdict = verdict.MayHaveRun
	}
}

// forward sends a request with an idempotency key to the key's home, the process that issued the key. If the
// home is gone or does not answer, it is unknown whether the request ran.
func (s *Server) forward(p *plainCall, key once.Key) *failure {
	if len(p.ctx.Request.Header.Peek(forwardedHeader)) > 0 {
		return outcomeUnknown("the key's home is not this address")
	}
	home, ok := s.Members.Get(key.VM)
	if !ok || home.Incarnation != key.Incarnation {
		return outcomeUnknown("the key's home is gone")
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	p.ctx.Request.CopyTo(request)
	request.SetHost(home.CallerAddress)
	request.Header.Set(forwardedHeader, s.Members.Self(p.started).VM)
	request.Header.Set(requestIDHeader, p.id)
	answer, err := s.Calls.Do(context.WithoutCancel(p.ctx), home.CallerAddress, request,
		httpcall.Options{Timeout: p.remaining(), Fresh: true, MaxBody: maxPlainAnswerBytes})
	if err != nil {
		return outcomeUnknown("the key's home does not answer")
	}
	defer answer.Close() //nolint:errcheck // the answer has been read completely
	response := &p.ctx.Response
	copyResponseHeaders(&response.Header, &answer.Response.Header)
	response.SetStatusCode(answer.Response.StatusCode())
	if len(response.Header.Peek(verdict.Header)) == 0 {
		response.Header.Set(verdict.Header, verdict.MayHaveRun.String())
	}
	response.SetBody(answer.Response.Body())
	return nil
}
