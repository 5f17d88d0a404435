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

// maxSends bounds the sendings of one request, those that did not run included.
const maxSends = 4

// flight is one request on its way.
type flight struct {
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

	sends  int      // to any endpoint
	ran    int      // sendings that may have run
	failed []string // groups and endpoints that have failed it
	begun  bool     // the caller has the head of an answer
	lastID string   // of the last event passed on

	story     Story
	delivery  delivery
	misserved bool // failed, refused or broken off
}

// log adds a line to the request's story.
func (f *flight) log(event string, failure bool, pairs ...any) {
	f.story.Decision(event, failure, pairs...)
}

// sending notes that the request is about to be sent and returns the time; pairs are logged beside the endpoint.
func (f *flight) sending(place *picker.Place, pairs ...any) time.Time {
	f.sends++
	f.gateway.meters.sends.Inc(1)
	pairs = append(pairs, "endpoint", place.Endpoint.ID, "send", f.sends)
	if limit := place.Limit(); limit.Named {
		f.gateway.meters.sendsLimited.Inc(1)
		pairs = append(pairs, "limit", limit.PerSecond)
	}
	now := clock.Now()
	if left := place.RemainingPause(now); left > 0 {
		f.gateway.meters.sendsPaused.Inc(1)
		pairs = append(pairs, "pause_left_ms", left.Milliseconds())
	}
	f.log("sent", false, pairs...)
	return now
}

// end ends the request's story. It is told whole of each request that the caller may complain of.
func (f *flight) end() {
	late := f.route != nil && f.delivery.late(f.request.Received, f.route)
	if late {
		f.gateway.meters.late.Inc(1)
	}
	f.story.End(late || f.misserved || f.sends > 1)
}

// refuse answers for the system itself, or breaks off what has begun.
func (f *flight) refuse(r Refusal) {
	f.log("refused", true, "reason", r.Reason.String(), "detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"sends", f.sends, "begun", f.begun)
	f.misserved = true
	if f.begun {
		f.gateway.meters.broken.Inc(1)
		f.exchange.Abort()
		return
	}
	f.gateway.meters.refused[r.Reason].Inc(1)
	f.exchange.Refuse(r)
}

// acquire finds a place for the next sending, unless the request is held back. While it waits that may change.
func (f *flight) acquire(ctx context.Context) (*picker.Place, error) {
	if err := f.heldBack(); err != nil {
		return nil, err
	}
	place, err := f.pick(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.heldBack(); err != nil {
		place.Release()
		return nil, err
	}
	return place, nil
}

// pick chooses a place and waits for it.
func (f *flight) pick(ctx context.Context) (*picker.Place, error) {
	w := &picker.Want{
		Service: f.service.Name, ColdFor: f.service.ColdFor, ColdPerSecond: f.service.ColdPerSecond, Workspace: f.workspace.Name, Priority: f.priority(), Exclude: f.failed,
		MaxWait: time.Duration(patiencePart * float64(f.route.Objective)),
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
	f.gateway.meters.queued.Record(clock.Since(began))
	return place, err
}

var errNoModel = errors.New("the service has no such model")

func (f *flight) priority() int {
	if f.workspace.HasPriority {
		return f.workspace.Priority
	}
	return f.route.Priority
}

func (f *flight) attempt(place *picker.Place, stream bool) Attempt {
	return Attempt{
		Endpoint: place.Endpoint, Remaining: clock.Until(f.deadline), Workspace: f.workspace, Priority: f.priority(),
		ResumeAfter: f.resumeAfter(), Once: !f.route.MayRepeat(), Stream: stream,
	}
}

func (f *flight) resumeAfter() string {
	if f.lastID != "" {
		return f.lastID
	}
	return f.request.ResumeAfter
}

// noPlace refuses a request that found no place. Nothing that may have run is refused as not run.
func (f *flight) noPlace(ctx context.Context, err error) {
	var held *heldError
	var paused *picker.PausedError
	switch {
	case f.ran > 0:
		f.fail(ctx, "no place for another attempt: "+err.Error())
	case errors.As(err, &held):
		f.gateway.meters.held.Inc(1)
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: held.left})
	case errors.As(err, &paused):
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: spread(paused.Remaining)})
	default:
		after := f.gateway.shortages.refused(f.service.Name+"/"+f.request.Model, clock.Now())
		f.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: after})
	}
}

// fail ends a request that may have run.
func (f *flight) fail(ctx context.Context, detail string) {
	reason := Failed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(f.deadline) {
		reason = TimedOut // the context may learn of it a moment later
	}
	f.refuse(Refusal{Reason: reason, Detail: detail})
}

// mayResend reports whether the request may be sent once more after a failure with that verdict.
func (f *flight) mayResend(v verdict.Verdict) bool {
	if f.sends >= maxSends || !clock.Now().Before(f.deadline) {
		return false // the context may learn of the deadline a moment later
	}
	if v != verdict.NotRun && (!f.route.MayRepeat() || f.ran >= max(1, f.route.MaxAttempts)) {
		return false
	}
	if !f.budget.Take(clock.Now()) {
		return false
	}
	f.gateway.meters.resends.Inc(1)
	return true
}

// avoid keeps further attempts from where one has failed.
func (f *flight) avoid(place *picker.Place) {
	if place.Group != "" {
		f.failed = append(f.failed, place.Group)
		return
	}
	f.failed = append(f.failed, place.Endpoint.ID)
}
