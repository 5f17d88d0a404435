package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/verdict"
)

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
