package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/admission"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/verdict"
)

const enginePath = "/engine/completions"

// completionRequest is what moorrun reads of a completion; the engine gets the body as it came.
type completionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// attempt is one try of a completion on one replica group.
type attempt struct {
	call   *call
	place  *admission.Place
	target routing.Target
	sentAt time.Time
}

// complete serves /v1/completions.
func (s *Server) complete(c *call) *failure {
	if !c.ctx.IsPost() {
		return notRun(fasthttp.StatusMethodNotAllowed, "use POST")
	}
	var r completionRequest
	if err := json.Unmarshal(c.ctx.PostBody(), &r); err != nil {
		return notRun(fasthttp.StatusBadRequest, "the body is no JSON object with a model: "+err.Error())
	}
	model, ok := c.config.Model(c.workspace, r.Model)
	if !ok {
		return notRun(fasthttp.StatusNotFound, "this workspace has no model "+strconv.Quote(r.Model))
	}
	s.meters.requests.Inc(1)
	s.budget.request()
	f := s.attempts(c, model, r)
	if f != nil {
		s.countFailure(c, r.Model, f)
	}
	return f
}

func (s *Server) countFailure(c *call, service string, f *failure) {
	if f.verdict == verdict.NotRun {
		s.meters.refusals.Inc(1)
	} else {
		s.meters.failures.Inc(1)
	}
	s.Burn.Record(c.workspace, service, burn.Outcome{Failed: true, Latency: clock.Since(c.started)})
}

// attempts tries the completion on one group after the other, as far as the budget and deadline go.
// Generating the same completion again harms nobody, so it is repeatable until its answer has begun.
func (s *Server) attempts(c *call, model config.ModelOf, r completionRequest) *failure {
	avoid := ""
	for {
		if left := s.Router.PauseLeft(model.Name, clock.Now()); left > c.left() {
			return notRunYet("each replica group of the model has asked for a pause", left)
		}
		a, f := s.place(c, admission.Request{
			Model: model.Name, Workspace: c.workspace, Avoid: avoid, Priority: c.priority, Prefer: s.Router.Preferred(model.Name, r.Prompt, clock.Now()), PreferWait: routing.PreferWait(len(r.Prompt)),
		})
		if f != nil {
			return f
		}
		answer, err := s.send(a)
		if err == nil {
			return s.pass(a, answer, r.Stream)
		}
		s.failed(a, err)
		a.place.Release(false)
		avoid = a.target.Group
		if c.left() <= 0 {
			return &failure{fasthttp.StatusGatewayTimeout, verdict.Of(err), "the deadline passed: " + err.Error(), time.Second}
		}
		if !s.budget.take() {
			return &failure{fasthttp.StatusBadGateway, verdict.Of(err), "the replica group failed: " + err.Error(), time.Second}
		}
		s.meters.retries.Inc(1)
	}
}

// failed notes that a group did not answer the request. One that sends Retry-After has not failed.
func (s *Server) failed(a *attempt, err error) {
	var refusal *refusalError
	if errors.As(err, &refusal) && refusal.retryAfter > 0 {
		s.Router.AskedToPause(a.target.Group, a.target.Birth, refusal.retryAfter)
		return
	}
	s.Router.Failed(a.target.Group, a.target.Birth)
}

// refusalError is an engine's answer that it will not run the request.
type refusalError struct {
	status     int
	retryAfter time.Duration // of Retry-After; zero if there is none
}

func (e *refusalError) Error() string {
	return "the engine refused the request: status " + strconv.Itoa(e.status)
}

// place waits for a place on a usable group.
func (s *Server) place(c *call, r admission.Request) (*attempt, *failure) {
	since := clock.Now()
	for {
		r.Patience = c.left()
		place, err := s.Admission.Acquire(context.Background(), r)
		if err != nil {
			return nil, refused(err)
		}
		target, ok := s.Router.Target(place.Group, place.Birth, clock.Now())
		if ok {
			s.meters.waited(since)
			return &attempt{call: c, place: place, target: target}, nil
		}
		place.Release(false) // the group went out of use between
	}
}

func refused(err error) *failure {
	var r *admission.Refusal
	if errors.As(err, &r) {
		return &failure{fasthttp.StatusTooManyRequests, verdict.NotRun, r.Error(), max(r.RetryAfter, time.Millisecond)}
	}
	return notRunYet("the node is stopping", time.Second)
}

// send sends the completion to the group's leader and returns the answer's header.
func (s *Server) send(a *attempt) (*httpcall.Answer, error) {
	c := a.call
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	copyRequestHeaders(&request.Header, &c.ctx.Request.Header)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(enginePath)
	request.SetHost(a.target.Leader)
	request.Header.Set(requestIDHeader, c.id)
	request.Header.Set(groupHeader, a.target.Group)
	request.Header.Set(birthHeader, strconv.FormatInt(a.target.Birth, 10))
	request.Header.Set(deadlineHeader, strconv.FormatInt(max(1, c.left().Milliseconds()), 10))
	request.SetBodyRaw(c.ctx.PostBody())
	a.sentAt = clock.Now()
	until := s.Router.WholeUntil(a.target)
	if !s.Checker.Hold(invariant.WholeGroup, a.sentAt.Before(until), func() []any {
		return []any{"group", a.target.Group, "request_id", c.id, "whole_until", until}
	}) {
		return nil, verdict.New(verdict.NotRun, errors.New("the group is no longer whole"))
	}
	answer, err := s.Calls.Do(context.WithoutCancel(c.ctx), a.target.Leader, request, httpcall.Options{Timeout: c.left(), Stream: true})
	if err != nil {
		return nil, err
	}
	if err := s.checkAnswer(c, answer); err != nil {
		_ = answer.Close()
		return nil, err
	}
	return answer, nil
}

// checkAnswer refuses an answer that is another request's, and turns an engine's refusal into an error.
func (s *Server) checkAnswer(c *call, answer *httpcall.Answer) error {
	if id := string(answer.Response.Header.Peek(requestIDHeader)); id != c.id {
		s.meters.crossed.Inc(1)
		return verdict.New(verdict.MayHaveRun, errors.New("the engine answered another request"))
	}
	switch status := answer.Response.StatusCode(); {
	case status == fasthttp.StatusConflict, status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		return verdict.New(verdict.NotRun, &refusalError{status, httpcall.RetryAfter(&answer.Response.Header)})
	case status >= fasthttp.StatusInternalServerError:
		return verdict.New(verdict.MayHaveRun, errors.New("the engine failed: status "+strconv.Itoa(status)))
	default:
		return nil
	}
}

// checkOwn holds that an answer about to be passed on names the call it goes to.
func (s *Server) checkOwn(c *call, id []byte) {
	s.Checker.Hold(invariant.OwnAnswer, len(id) == 0 || string(id) == c.id, func() []any {
		return []any{"request_id", c.id, "answer_id", string(id)}
	})
}

// pass hands the answer to the caller.
func (s *Server) pass(a *attempt, answer *httpcall.Answer, stream bool) *failure {
	response := &a.call.ctx.Response
	copyResponseHeaders(&response.Header, &answer.Response.Header)
	s.checkOwn(a.call, response.Header.Peek(requestIDHeader))
	response.SetStatusCode(answer.Response.StatusCode())
	response.Header.Set(verdict.Header, verdict.Ran.String())
	body := newStreamBody(s, a, answer)
	if stream && answer.Response.StatusCode() == fasthttp.StatusOK {
		response.Header.Set(resumeHeader, s.resumeToken(a))
		body.marker = endMarker
		response.ImmediateHeaderFlush = true
		response.SetBodyStream(body, -1)
		return nil
	}
	response.SetBodyStream(body, answer.Response.Header.ContentLength())
	return nil
}
