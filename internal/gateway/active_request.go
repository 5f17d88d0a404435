package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/readers"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
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
		order: eventOrder{required: a.route.Resumable, last: a.resumeAfter(), most: a.request.MaxTokens, count: a.delivery.events},
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

// configurations returns the versions of the configuration by which the request was admitted, and of the present one if that differs,
// as pairs for the log.
func (a *activeRequest) configurations() []any {
	if a.table == nil {
		return nil
	}
	pairs := []any{"configuration", a.table.Version}
	if now, _ := a.gateway.Configuration(); now != nil && now.Version != a.table.Version {
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

// fail refuses a request that may have run.
func (a *activeRequest) fail(ctx context.Context, detail string) {
	reason := Failed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !clock.Now().Before(a.deadline) {
		reason = TimedOut // the context may expire slightly after the deadline
	}
	a.refuse(Refusal{Reason: reason, Detail: detail})
}
