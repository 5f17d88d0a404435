package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/readers"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/tunnel"
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

	signature quarantine.Signature
	trial     []quarantine.Fingerprint // holds that the next attempt is sent in spite of

	sends    int      // attempts, to any endpoint
	ran      int      // attempts that may have run, or still run
	excluded []string // groups and endpoints that have failed the request
	begun    bool     // the head of a stream has been passed on to the caller
	lastID   string   // ID of the last event passed on

	retryTaken time.Time // when a retry was taken for the next attempt; zero if none is needed

	requestLog   RequestLog
	delivery     delivery
	unsuccessful bool     // failed, refused or cut off
	endCause     endCause // of the last attempt that ended without a complete answer
}

// log adds an entry to the request's log.
func (a *activeRequest) log(event string, failure bool, pairs ...any) {
	a.requestLog.Decision(event, failure, pairs...)
}

// isStream reports whether the answer is passed on event by event.
func (a *activeRequest) isStream() bool { return a.route.Kind == route.Streaming }

// newAttempt returns an attempt at the place, which is about to be sent.
func (a *activeRequest) newAttempt(ctx context.Context, place *picker.Place) *activeAttempt {
	now := a.recordSend(place)
	t := &activeAttempt{
		gateway: a.gateway, exchange: a.exchange, place: place, attempt: a.attempt(place), deadline: a.deadline,
		signature: &a.signature, trial: a.trial, long: len(a.request.Body) >= longBody, sent: now, last: now,
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// recordSend counts and logs an attempt that is about to be sent and returns the current time.
func (a *activeRequest) recordSend(place *picker.Place) time.Time {
	a.sends++
	a.ran++
	a.gateway.metrics.sends.Inc(1)
	pairs := []any{"endpoint", place.Endpoint.ID, "send", a.sends}
	if a.isStream() {
		pairs = append(pairs, "group", place.Group, "resume_after", a.resumeAfter(), "prompt_tokens", a.request.PromptTokens, "requests", place.Requests)
	}
	if limit := place.Limit(); limit.Named {
		a.gateway.metrics.sendsLimited.Inc(1)
		pairs = append(pairs, "limit", limit.PerSecond)
	}
	now := clock.Now()
	if left := place.RemainingPause(now); left > 0 {
		a.gateway.metrics.sendsPaused.Inc(1)
		pairs = append(pairs, "pause_left_ms", left.Milliseconds())
	}
	a.log("sent", false, pairs...)
	return now
}

// recordEnd records what ended an attempt without a complete answer, and logs it with pairs.
func (a *activeRequest) recordEnd(ctx context.Context, err error, pairs ...any) {
	a.endCause = endCauseOf(ctx, a.deadline, err)
	a.gateway.metrics.attemptsEnded[a.endCause].Inc(1)
	a.log("failed", false, append(append(pairs, "err", err, "by", string(a.endCause)), a.configurations()...)...)
}

// configurations returns the versions of the configuration by which the request was admitted, and of the present one if that differs,
// as pairs for the log.
func (a *activeRequest) configurations() []any {
	if a.table == nil {
		return nil
	}
	pairs := []any{"configuration", a.table.Version}
	if now := a.gateway.Table(); now != nil && now.Version != a.table.Version {
		pairs = append(pairs, "configuration_now", now.Version)
	}
	return pairs
}

// finish ends the request's log. Requests that were late, unsuccessful or sent more than once are always logged in full.
func (a *activeRequest) finish() {
	late := a.route != nil && a.delivery.late(a.request.Received, a.route)
	if late {
		a.gateway.metrics.late.Inc(1)
	}
	a.requestLog.End(late || a.unsuccessful || a.sends > 1)
}

// refuse answers the caller with a refusal, or cuts the answer off if its head has been passed on.
func (a *activeRequest) refuse(r Refusal) {
	pairs := []any{"reason", r.Reason.String(), "detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds(), "sends", a.sends, "begun", a.begun}
	if a.endCause != "" {
		pairs = append(pairs, "by", string(a.endCause))
	}
	a.log("refused", true, append(pairs, a.configurations()...)...)
	a.unsuccessful = true
	if a.begun {
		a.gateway.metrics.cutOff[a.endCause].Inc(1)
		a.exchange.Abort()
		return
	}
	a.gateway.metrics.refused[r.Reason].Inc(1)
	a.exchange.Refuse(r)
}

// recordWriteError counts and logs a caller that was cut because it does not read. It ignores other errors, and nil. The line
// is among those of a request that was unsuccessful, whose rate is limited.
func (a *activeRequest) recordWriteError(err error) {
	reason := readers.CutReason(err)
	if reason == "" {
		return
	}
	a.unsuccessful = true
	a.gateway.metrics.callersCut[reason].Inc(1)
	a.log("caller cut", true, "reason", reason, "route", a.route.Name, "workspace", a.workspace.Name, "last", a.lastID)
}

// errTooLate means that the retry taken for the next attempt no longer counts, and another is not allowed.
var errTooLate = errors.New("a place was found too late for a retry")

// acquire returns a place for the next attempt. If there is none, the retry taken for the attempt is given back.
func (a *activeRequest) acquire(ctx context.Context) (*picker.Place, error) {
	place, err := a.acquireUnlessHeld(ctx)
	if err != nil {
		a.returnRetry()
		return nil, err
	}
	if !a.useRetry() {
		place.Release()
		return nil, errTooLate
	}
	return place, nil
}

// acquireUnlessHeld returns a place for the next attempt, unless the request is held back. It checks for that again after the
// wait for the place.
func (a *activeRequest) acquireUnlessHeld(ctx context.Context) (*picker.Place, error) {
	a.trial = nil
	if err := a.heldBack(); err != nil {
		return nil, err
	}
	place, err := a.awaitPlace(ctx)
	if err != nil {
		return nil, err
	}
	if err := a.heldBack(); err != nil {
		place.Release()
		return nil, err
	}
	return place, nil
}

// awaitPlace chooses an endpoint for the request and waits for a place there.
func (a *activeRequest) awaitPlace(ctx context.Context) (*picker.Place, error) {
	w, err := a.requirements()
	if err != nil {
		return nil, err
	}
	began := clock.Now()
	place, err := a.gateway.Picker.Acquire(ctx, w)
	a.gateway.metrics.placeWait.Record(clock.Since(began))
	return place, err
}

// requirements returns what the next attempt needs of a place.
func (a *activeRequest) requirements() (*picker.Requirements, error) {
	w := &picker.Requirements{
		Service: a.service.Name, ColdFor: a.service.ColdFor, ColdPerSecond: a.service.ColdPerSecond, Workspace: a.workspace.Name, Priority: a.priority(), Exclude: a.excluded,
		MaxWait: time.Duration(placeWaitFraction * float64(a.route.Objective)),
	}
	if e := a.service.Engine; e != nil {
		model, ok := e.Model(a.request.Model)
		if !ok {
			return nil, errNoModel
		}
		w.Model, w.Slots, w.Size = model.Name, e.Slots, model.Size
		w.PromptTokens, w.Objective = a.request.PromptTokens, a.route.Objective
		w.Engine = engine.Model{Figures: e.Figures, Pace: model.Pace}
	}
	if a.begun {
		w.MaxWait = a.route.GapObjective / 2
	}
	return w, nil
}

var errNoModel = errors.New("the service has no such model")

func (a *activeRequest) priority() int {
	if a.workspace.HasPriority {
		return a.workspace.Priority
	}
	return a.route.Priority
}

func (a *activeRequest) attempt(place *picker.Place) Attempt {
	return Attempt{
		Endpoint: place.Endpoint, Remaining: clock.Until(a.deadline), Workspace: a.workspace, Priority: a.priority(),
		ResumeAfter: a.resumeAfter(), Once: !a.route.MayRepeat(), Stream: a.isStream(),
	}
}

func (a *activeRequest) resumeAfter() string {
	if a.lastID != "" {
		return a.lastID
	}
	return a.request.ResumeAfter
}

// refuseWithoutPlace refuses a request that got no place. A request that may have run is not refused as NotRun.
func (a *activeRequest) refuseWithoutPlace(ctx context.Context, err error) {
	var held *heldError
	var paused *picker.PausedError
	switch {
	case a.ran > 0:
		a.fail(ctx, "no place for another attempt: "+err.Error())
	case errors.As(err, &held):
		a.refuseHeld(held)
	case errors.As(err, &paused):
		a.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: addJitter(paused.Remaining)})
	default:
		after := a.gateway.shortages.recordRefusal(a.service.Name+"/"+a.request.Model, clock.Now())
		a.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: after})
	}
}

// fail refuses a request that may have run.
func (a *activeRequest) fail(ctx context.Context, detail string) {
	reason := Failed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(a.deadline) {
		reason = TimedOut // the context may expire slightly after the deadline
	}
	a.refuse(Refusal{Reason: reason, Detail: detail})
}

// recordPlaceFailure records that an attempt failed at the place, unless it failed on the way there or was given up for its silence,
// which the picker has been told already.
func (a *activeRequest) recordPlaceFailure(ctx context.Context, place *picker.Place, err error) {
	v := verdict.Of(err)
	switch {
	case errors.Is(err, tunnel.ErrBroken), errors.Is(err, errStalled), errors.Is(err, errHeldBack), errors.Is(err, errCallerGone):
	case a.isStream() && v != verdict.NotRun && ctx.Err() != nil:
	default:
		place.RecordFailure(v == verdict.NotRun, clock.Now())
	}
}

// exclude keeps further attempts away from the group or endpoint of a failed attempt, unless that failed on the way there.
func (a *activeRequest) exclude(o *outcome) {
	if !errors.Is(o.err, tunnel.ErrBroken) {
		a.excluded = append(a.excluded, o.attempt.place.Key())
	}
}
