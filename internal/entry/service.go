package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/once"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/verdict"
)

const (
	servicesPath = "/services/"
	// maxPlainAnswerBytes is the maximum size of an answer from an endpoint of a plain service.
	maxPlainAnswerBytes = 32 << 20
)

// plainCall is one request to a plain service, one that serves no model.
type plainCall struct {
	*call
	name       string
	service    *config.Service
	path       string // path at the endpoint, including the query
	repeatable bool
	mayHaveRun bool // whether bytes of an attempt may have reached an endpoint
}

// serveService handles /services/NAME/PATH.
func (s *Server) serveService(c *call, path string) *failure {
	name, rest, _ := strings.Cut(path[len(servicesPath):], "/")
	service, ok := c.config.Service(c.workspace, name)
	if !ok {
		return notRun(fasthttp.StatusNotFound, "this workspace has no service "+strconv.Quote(name))
	}
	p := &plainCall{call: c, name: name, service: service, path: "/" + rest}
	p.repeatable = service.Repeatable(string(c.ctx.Method()), p.path)
	if query := c.ctx.URI().QueryString(); len(query) > 0 {
		p.path += "?" + string(query)
	}
	s.metrics.requests.Inc(1)
	s.budget.recordRequest(clock.Now())
	f := s.servePlain(p)
	if f != nil {
		s.countFailure(c, name, f)
	}
	return f
}

func (s *Server) servePlain(p *plainCall) *failure {
	text := string(p.ctx.Request.Header.Peek(keyHeader))
	if p.repeatable || text == "" {
		return s.runWithRetries(p)
	}
	key, err := once.ParseKey(text)
	if err != nil {
		return notRun(fasthttp.StatusBadRequest, err.Error())
	}
	self := s.Members.Self(clock.Now())
	if key.VM != self.VM {
		return s.forward(p, key)
	}
	if key.Incarnation != self.Incarnation {
		return outcomeUnknown("the key's home has restarted")
	}
	return s.runOnce(p, key)
}

func outcomeUnknown(reason string) *failure {
	return &failure{fasthttp.StatusConflict, verdict.MayHaveRun, reason + ": it is not known whether the request ran", 0}
}

// runOnce runs the request if its key has not been used yet, and otherwise answers with the outcome of the
// first send.
func (s *Server) runOnce(p *plainCall, key once.Key) *failure {
	entry, fresh, err := s.Once.Claim(p.workspace, key, p.fingerprint())
	switch {
	case errors.Is(err, once.ErrExpired):
		return outcomeUnknown(err.Error())
	case errors.Is(err, once.ErrReused):
		return notRun(fasthttp.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, once.ErrFuture):
		return notRun(fasthttp.StatusBadRequest, err.Error())
	case err != nil:
		return unavailable(err.Error(), time.Minute)
	}
	if !fresh {
		return s.replay(p, entry)
	}
	f := s.runWithRetries(p)
	switch {
	case f == nil:
		s.Once.Finish(entry, storedAnswer(p.ctx))
	case f.verdict == verdict.NotRun:
		s.Once.Abandon(p.workspace, key, entry)
	default:
		s.Once.Finish(entry, once.StoredAnswer{Status: f.status, Verdict: f.verdict})
	}
	return f
}

// storedAnswer copies the answer out of the request's buffers, which are reused after the request.
func storedAnswer(ctx *fasthttp.RequestCtx) once.StoredAnswer {
	return once.StoredAnswer{
		Status: ctx.Response.StatusCode(), ContentType: string(ctx.Response.Header.ContentType()),
		Body: append([]byte{}, ctx.Response.Body()...), Complete: true, Verdict: verdict.Ran,
	}
}

// replay waits until the first send of the request has ended and answers with its outcome.
func (s *Server) replay(p *plainCall, entry *once.Entry) *failure {
	timer := time.NewTimer(p.remaining())
	defer timer.Stop()
	select {
	case <-entry.Done():
	case <-timer.C:
		return &failure{fasthttp.StatusGatewayTimeout, verdict.MayHaveRun, "the first send of this request is still running", time.Second}
	}
	stored := entry.Answer()
	if stored.Verdict != verdict.Ran {
		return &failure{fasthttp.StatusConflict, stored.Verdict, "the first send of this request ended so", 0}
	}
	if !stored.Complete {
		return &failure{fasthttp.StatusConflict, verdict.Ran, "the request ran; its answer was too large to keep", 0}
	}
	p.ctx.SetStatusCode(stored.Status)
	p.ctx.SetContentType(stored.ContentType)
	p.ctx.Response.Header.Set(verdict.Header, verdict.Ran.String())
	p.ctx.Response.Header.Set(requestIDHeader, p.id)
	p.ctx.SetBody(stored.Body)
	return nil
}

func (p *plainCall) fingerprint() [32]byte {
	h := sha256.New()
	h.Write(p.ctx.Method())
	h.Write([]byte{0})
	h.Write([]byte(p.name + p.path))
	h.Write([]byte{0})
	h.Write(p.ctx.PostBody())
	return [32]byte(h.Sum(nil))
}

// runWithRetries sends the request. It retries only if the request certainly did not run or is repeatable, and
// only within the deadline and the retry budget.
func (s *Server) runWithRetries(p *plainCall) *failure {
	avoid := ""
	for {
		endpoint, place, f := s.acquireEndpoint(p, avoid)
		if f != nil {
			return f
		}
		err := s.sendPlain(p, endpoint)
		place.Release(err == nil)
		if err == nil {
			s.Services.RecordSuccess(endpoint.Name)
			s.Burn.Record(p.workspace, p.name, burn.Outcome{Failed: p.ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError, Latency: clock.Since(p.started)})
			return nil
		}
		s.Services.RecordFailure(endpoint.Name, clock.Now())
		avoid = endpoint.Name
		v := verdict.Of(err)
		retry := (v == verdict.NotRun || p.repeatable) && p.remaining() > 0 && s.budget.tryTake(clock.Now())
		if !retry {
			status := fasthttp.StatusBadGateway
			if httpcall.IsTimeout(err) {
				status = fasthttp.StatusGatewayTimeout
			}
			return &failure{status, v, "the endpoint failed: " + err.Error(), time.Second}
		}
		s.metrics.retries.Inc(1)
	}
}

// acquireEndpoint waits for a place at one of the service's endpoints that are not drained.
func (s *Server) acquireEndpoint(p *plainCall, avoid string) (config.Endpoint, *admission.Place, *failure) {
	pool := routing.ServicePool(p.workspace, p.name)
	for {
		if left := s.Services.RemainingPause(pool, clock.Now()); left > p.remaining() {
			return config.Endpoint{}, nil, unavailable("each endpoint of the service has asked for a pause", left)
		}
		if len(s.Services.Endpoints(pool)) == 0 {
			return config.Endpoint{}, nil, unavailable("the service has no endpoint in use", time.Second)
		}
		place, err := s.ServiceAdmission.Acquire(context.Background(), admission.Request{
			Model: pool, Workspace: p.workspace, Avoid: avoid, Timeout: p.remaining(),
		})
		if err != nil {
			return config.Endpoint{}, nil, admissionFailure(err)
		}
		if e, ok := s.Services.Endpoint(place.Group); ok {
			return e, place, nil
		}
		place.Release(false) // the endpoint became unusable after the place was granted
	}
}

func (s *Server) sendPlain(p *plainCall, endpoint config.Endpoint) error {
	if !s.Checker.Check(invariant.SentAtMostOnce, p.repeatable || !p.mayHaveRun, func() []any {
		return []any{"request_id", p.id, "service", p.name}
	}) {
		return verdict.New(verdict.MayHaveRun, errors.New("the request may have run already"))
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	copyRequestHeaders(&request.Header, &p.ctx.Request.Header)
	request.Header.SetMethodBytes(p.ctx.Method())
	request.SetRequestURI(p.path)
	request.SetHost(endpoint.Address)
	request.Header.Set(requestIDHeader, p.id)
	request.Header.Set(deadlineHeader, strconv.FormatInt(max(1, p.remaining().Milliseconds()), 10))
	request.SetBodyRaw(p.ctx.PostBody())
	answer, err := s.Calls.Do(context.WithoutCancel(p.ctx), endpoint.Address, request,
		httpcall.Options{Timeout: p.remaining(), Endpoint: true, Fresh: !p.repeatable, MaxBody: maxPlainAnswerBytes})
	if err != nil {
		p.mayHaveRun = p.mayHaveRun || verdict.Of(err) != verdict.NotRun
		return err
	}
	defer answer.Close() //nolint:errcheck // the answer has been read completely
	if pause := requestedPause(answer); pause > 0 {
		s.Services.RecordPause(endpoint.Name, clock.Now().Add(pause))
	}
	return s.relayPlainAnswer(p, answer)
}

// requestedPause returns the Retry-After value of an answer with status 429 or 503, zero if it has none.
func requestedPause(answer *httpcall.Answer) time.Duration {
	switch answer.Response.StatusCode() {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return httpcall.RetryAfter(&answer.Response.Header)
	default:
		return 0
	}
}

// relayPlainAnswer copies the answer to the caller's response, unless it carries the ID of another request.
func (s *Server) relayPlainAnswer(p *plainCall, answer *httpcall.Answer) error {
	p.mayHaveRun = true
	if id := answer.Response.Header.Peek(requestIDHeader); len(id) > 0 && string(id) != p.id {
		s.metrics.crossedAnswers.Inc(1)
		return verdict.New(verdict.MayHaveRun, errors.New("the endpoint answered another request"))
	}
	response := &p.ctx.Response
	copyResponseHeaders(&response.Header, &answer.Response.Header)
	s.checkAnswerID(p.call, response.Header.Peek(requestIDHeader))
	response.SetStatusCode(answer.Response.StatusCode())
	response.Header.Set(verdict.Header, verdict.Ran.String())
	response.Header.Set(requestIDHeader, p.id)
	response.SetBody(answer.Response.Body())
	return nil
}
