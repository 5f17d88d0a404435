package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/verdict"
)

// maxSends bounds the attempts of one request, including those that did not run.
const maxSends = 4

// activeRequest is the state of one request while it is served.
type activeRequest struct {
	gateway   *Gateway
	request   *Request
	exchange  Exchange
	table     *route.Table
	route     *route.Route
	workspace *route.Workspace
	service   *route.Service
	budget    *retry.Budget
	deadline  time.Time

	fingerprint quarantine.Fingerprint

	sends    int      // attempts, to any endpoint
	ran      int      // attempts that may have run
	excluded []string // groups and endpoints that have failed the request
	begun    bool     // the head of a stream has been passed on to the caller
	lastID   string   // ID of the last event passed on

	requestLog   RequestLog
	delivery     delivery
	unsuccessful bool // failed, refused or cut off
}

// log adds an entry to the request's log.
func (f *activeRequest) log(event string, failure bool, pairs ...any) {
	f.requestLog.Decision(event, failure, pairs...)
}

// recordSend counts and logs an attempt that is about to be sent and returns the current time. pairs are logged in addition.
func (f *activeRequest) recordSend(place *picker.Place, pairs ...any) time.Time {
	f.sends++
	f.gateway.metrics.sends.Inc(1)
	pairs = append(pairs, "endpoint", place.Endpoint.ID, "send", f.sends)
	if limit := place.Limit(); limit.Named {
		f.gateway.metrics.sendsLimited.Inc(1)
		pairs = append(pairs, "limit", limit.PerSecond)
	}
	now := clock.Now()
	if left := place.RemainingPause(now); left > 0 {
		f.gateway.metrics.sendsPaused.Inc(1)
		pairs = append(pairs, "pause_left_ms", left.Milliseconds())
	}
	f.log("sent", false, pairs...)
	return now
}

// finish ends the request's log. Requests that were late, unsuccessful or sent more than once are always logged in full.
func (f *activeRequest) finish() {
	late := f.route != nil && f.delivery.late(f.request.Received, f.route)
	if late {
		f.gateway.metrics.late.Inc(1)
	}
	f.requestLog.End(late || f.unsuccessful || f.sends > 1)
}

// refuse answers the caller with a refusal, or cuts the answer off if its head has been passed on.
func (f *activeRequest) refuse(r Refusal) {
	f.log("refused", true, "reason", r.Reason.String(), "detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"sends", f.sends, "begun", f.begun)
	f.unsuccessful = true
	if f.begun {
		f.gateway.metrics.cutOff.Inc(1)
		f.exchange.Abort()
		return
	}
	f.gateway.metrics.refused[r.Reason].Inc(1)
	f.exchange.Refuse(r)
}

// acquire returns a place for the next attempt, unless the request is held back. It checks for that again after the wait for
// the place.
func (f *activeRequest) acquire(ctx context.Context) (*picker.Place, error) {
	if err := f.heldBack(); err != nil {
		return nil, err
	}
	place, err := f.awaitPlace(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.heldBack(); err != nil {
		place.Release()
		return nil, err
	}
	return place, nil
}

// awaitPlace chooses an endpoint for the request and waits for a place there.
func (f *activeRequest) awaitPlace(ctx context.Context) (*picker.Place, error) {
	w := &picker.Requirements{
		Service: f.service.Name, ColdFor: f.service.ColdFor, ColdPerSecond: f.service.ColdPerSecond, Workspace: f.workspace.Name, Priority: f.priority(), Exclude: f.excluded,
		MaxWait: time.Duration(placeWaitFraction * float64(f.route.Objective)),
	}
	if e := f.service.Engine; e != nil {
		model, ok := e.Model(f.request.Model)
		if !ok {
			return nil, errNoModel
		}
		w.Model, w.Slots, w.Size = model.Name, e.Slots, model.Size
		w.PromptTokens, w.Objective = f.request.PromptTokens, f.route.Objective
		w.Engine = engine.Model{Figures: e.Figures, Pace: model.Pace}
	}
	if f.begun {
		w.MaxWait = f.route.GapObjective / 2
	}
	began := clock.Now()
	place, err := f.gateway.Picker.Acquire(ctx, w)
	f.gateway.metrics.placeWait.Record(clock.Since(began))
	return place, err
}

var errNoModel = errors.New("the service has no such model")

func (f *activeRequest) priority() int {
	if f.workspace.HasPriority {
		return f.workspace.Priority
	}
	return f.route.Priority
}

func (f *activeRequest) attempt(place *picker.Place, stream bool) Attempt {
	return Attempt{
		Endpoint: place.Endpoint, Remaining: clock.Until(f.deadline), Workspace: f.workspace, Priority: f.priority(),
		ResumeAfter: f.resumeAfter(), Once: !f.route.MayRepeat(), Stream: stream,
	}
}

func (f *activeRequest) resumeAfter() string {
	if f.lastID != "" {
		return f.lastID
	}
	return f.request.ResumeAfter
}

// refuseWithoutPlace refuses a request that got no place. A request that may have run is not refused as NotRun.
func (f *activeRequest) refuseWithoutPlace(ctx context.Context, err error) {
	var held *heldError
	var paused *picker.PausedError
	switch {
	case f.ran > 0:
		f.fail(ctx, "no place for another attempt: "+err.Error())
	case errors.As(err, &held):
		f.gateway.metrics.heldBack.Inc(1)
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: held.remaining})
	case errors.As(err, &paused):
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: addJitter(paused.Remaining)})
	default:
		after := f.gateway.shortages.recordRefusal(f.service.Name+"/"+f.request.Model, clock.Now())
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: after})
	}
}

// fail refuses a request that may have run.
func (f *activeRequest) fail(ctx context.Context, detail string) {
	reason := Failed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(f.deadline) {
		reason = TimedOut // the context may expire slightly after the deadline
	}
	f.refuse(Refusal{Reason: reason, Detail: detail})
}

// mayResend reports whether the request may be sent again after an attempt that failed with verdict v, and takes the attempt
// from the retry budget if so.
func (f *activeRequest) mayResend(v verdict.Verdict) bool {
	if f.sends >= maxSends || !clock.Now().Before(f.deadline) {
		return false // the context may expire slightly after the deadline
	}
	if v != verdict.NotRun && (!f.route.MayRepeat() || f.ran >= max(1, f.route.MaxAttempts)) {
		return false
	}
	if !f.budget.Take(clock.Now()) {
		return false
	}
	f.gateway.metrics.resends.Inc(1)
	return true
}

// exclude keeps further attempts away from the place's group or endpoint.
func (f *activeRequest) exclude(place *picker.Place) {
	if place.Group != "" {
		f.excluded = append(f.excluded, place.Group)
		return
	}
	f.excluded = append(f.excluded, place.Endpoint.ID)
}
