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
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/verdict"
)

const enginePath = "/engine/completions"

// completionRequest holds the fields of a completion request that moorrun reads. The engine receives the body
// unchanged.
type completionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// attempt is one attempt to run a completion on one replica group.
type attempt struct {
	call   *call
	place  *admission.Place
	target routing.Target
	sentAt time.Time
	// presentUntil is until when there was evidence of all VMs when the group was found usable; zero if it was not.
	presentUntil time.Time

	signature quarantine.Signature
	life      *endpoint.Endpoint // the leader as it was when the request was sent; nil for a resumed stream
	resent    bool               // another group had failed the request
}

// serveCompletion handles /v1/completions.
func (s *Server) serveCompletion(c *call) *failure {
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
	s.metrics.requests.Inc(1)
	s.budget.recordRequest(clock.Now())
	f := s.completeWithRetries(c, model, r)
	if f != nil {
		s.countFailure(c, r.Model, f)
	}
	return f
}

func (s *Server) countFailure(c *call, service string, f *failure) {
	if f.verdict == verdict.NotRun {
		s.metrics.refusals.Inc(1)
	} else {
		s.metrics.failures.Inc(1)
	}
	s.Burn.Record(c.workspace, service, burn.Outcome{Failed: true, Latency: clock.Since(c.started)})
}

// completeWithRetries sends the completion to one replica group after another until one answers, the
// deadline passes or the retry budget is used up. Generating the same completion twice is harmless, so it can
// be retried until its answer has begun.
func (s *Server) completeWithRetries(c *call, model config.ModelOf, r completionRequest) *failure {
	avoid := ""
	signature := completionSignature(c, model.Name, r.Prompt)
	for {
		a, f := s.acquireAttempt(c, model, r, &signature, avoid)
		if f != nil {
			return f
		}
		answer, err := s.send(a)
		if err == nil {
			return s.relayAnswer(a, answer, r.Stream)
		}
		s.recordFailure(a, err)
		s.recordEnd(a, err, false)
		a.place.Release(false)
		avoid = a.target.Group
		if c.remaining() <= 0 {
			return &failure{fasthttp.StatusGatewayTimeout, verdict.Of(err), "the deadline passed: " + err.Error(), time.Second}
		}
		if !s.budget.tryTake(clock.Now()) {
			return &failure{fasthttp.StatusBadGateway, verdict.Of(err), "the replica group failed: " + err.Error(), time.Second}
		}
		s.metrics.retries.Inc(1)
	}
}

// acquireAttempt waits for a place and returns the attempt to send there, unless the request is held back. It checks for that
// again after the wait. avoid is the group that has failed the request; empty if none has.
func (s *Server) acquireAttempt(c *call, model config.ModelOf, r completionRequest, signature *quarantine.Signature, avoid string) (*attempt, *failure) {
	for {
		trial, f := s.checkHold(signature, nil)
		if f != nil {
			return nil, f
		}
		if left := s.Router.RemainingPause(model.Name, clock.Now()); left > c.remaining() {
			return nil, unavailable("each replica group of the model has asked for a pause", left)
		}
		a, f := s.acquirePlace(c, admission.Request{
			Model: model.Name, Workspace: c.workspace, Avoid: avoid, Priority: c.priority, Prefer: s.Router.Preferred(model.Name, r.Prompt, clock.Now()), PreferWait: routing.PreferWait(len(r.Prompt)),
		})
		if f != nil {
			return nil, f
		}
		a.signature, a.life, a.resent = *signature, s.life(a.target), avoid != ""
		if _, f := s.checkHold(signature, trial); f != nil {
			a.place.Release(false)
			return nil, f
		}
		a.presentUntil = s.Router.AllPresentUntil(a.target)
		if s.Router.Usable(a.place.Group, a.place.Birth, clock.Now()) {
			return a, nil
		}
		a.place.Release(false) // the group became unusable in the meantime
	}
}

// recordFailure records that a group did not answer the request. A refusal with Retry-After is recorded as a
// requested pause, not as a failure.
func (s *Server) recordFailure(a *attempt, err error) {
	var refusal *refusalError
	if errors.As(err, &refusal) && refusal.retryAfter > 0 {
		s.Router.RecordPause(a.target.Group, a.target.Birth, refusal.retryAfter)
		return
	}
	s.Router.RecordFailure(a.target.Group, a.target.Birth)
}

// refusalError reports that an engine answered that it will not run the request.
type refusalError struct {
	status     int
	retryAfter time.Duration // value of Retry-After; zero if the header is absent
}

func (e *refusalError) Error() string {
	return "the engine refused the request: status " + strconv.Itoa(e.status)
}

// acquirePlace waits for a place (the right to run one request) on a usable replica group.
func (s *Server) acquirePlace(c *call, r admission.Request) (*attempt, *failure) {
	since := clock.Now()
	for {
		r.Timeout = c.remaining()
		place, err := s.Admission.Acquire(context.Background(), r)
		if err != nil {
			return nil, admissionFailure(err)
		}
		target, ok := s.Router.Target(place.Group, place.Birth, clock.Now())
		if ok {
			s.metrics.recordPlaceWait(since)
			return &attempt{call: c, place: place, target: target}, nil
		}
		place.Release(false) // the group became unusable after the place was granted
	}
}

func admissionFailure(err error) *failure {
	var r *admission.Refusal
	if errors.As(err, &r) {
		return &failure{fasthttp.StatusTooManyRequests, verdict.NotRun, r.Error(), max(r.RetryAfter, time.Millisecond)}
	}
	return unavailable("the node is stopping", time.Second)
}

// send sends the completion to the group's leader and returns once the header of the answer has arrived.
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
	request.Header.Set(deadlineHeader, strconv.FormatInt(max(1, c.remaining().Milliseconds()), 10))
	request.SetBodyRaw(c.ctx.PostBody())
	a.sentAt = clock.Now()
	if err := s.checkPresent(a); err != nil {
		return nil, err
	}
	answer, err := s.Calls.Do(context.WithoutCancel(c.ctx), a.target.Leader, request, httpcall.Options{Timeout: c.remaining(), Endpoint: true, Stream: true})
	if err != nil {
		return nil, err
	}
	if err := s.checkAnswer(c, answer); err != nil {
		_ = answer.Close()
		return nil, err
	}
	return answer, nil
}

// checkPresent returns an error unless there is evidence that all VMs of the group are present when the request is sent. It is no breach
// if the evidence by which the group was chosen has merely expired since, as after a pause of this process.
func (s *Server) checkPresent(a *attempt) error {
	until := s.Router.AllPresentUntil(a.target)
	present := a.sentAt.Before(until)
	expired := !present && !a.presentUntil.IsZero() && !until.Before(a.presentUntil)
	s.Checker.Check(invariant.GroupComplete, present || expired, func() []any {
		return []any{"group", a.target.Group, "request_id", a.call.id, "whole_until", until}
	})
	if !present {
		return verdict.New(verdict.NotRun, errors.New("the group is no longer whole"))
	}
	return nil
}

// checkAnswer returns an error if the answer carries the ID of another request, or if the engine refused or
// failed the request.
func (s *Server) checkAnswer(c *call, answer *httpcall.Answer) error {
	if id := string(answer.Response.Header.Peek(requestIDHeader)); id != c.id {
		s.metrics.crossedAnswers.Inc(1)
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

// checkAnswerID checks the invariant that an answer about to be relayed carries no request ID or that of its
// call.
func (s *Server) checkAnswerID(c *call, id []byte) {
	s.Checker.Check(invariant.ResponseMatchesRequest, len(id) == 0 || string(id) == c.id, func() []any {
		return []any{"request_id", c.id, "answer_id", string(id)}
	})
}

// relayAnswer copies the header of the answer to the caller's response and streams its body.
func (s *Server) relayAnswer(a *attempt, answer *httpcall.Answer, stream bool) *failure {
	response := &a.call.ctx.Response
	copyResponseHeaders(&response.Header, &answer.Response.Header)
	s.checkAnswerID(a.call, response.Header.Peek(requestIDHeader))
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
