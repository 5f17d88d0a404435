package gateway

import (
	"context"
	"errors"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/verdict"
)

// stalledReason is the logged reason of attempts beside one whose group may have stalled.
const stalledReason = "stalled"

// serveStream serves a request whose answer is a stream of events. A resumable stream continues at another replica group when its
// group fails or stalls.
func (a *activeRequest) serveStream(ctx context.Context) {
	for {
		place, err := a.acquire(ctx)
		if err != nil {
			a.refuseWithoutPlace(ctx, err)
			return
		}
		if !a.relayEvents(ctx, a.newAttempt(ctx, place)) {
			return
		}
	}
}

// relayEvents passes on the events of an attempt, or of another one that has taken its place, and reports whether to send the request
// again.
func (a *activeRequest) relayEvents(ctx context.Context, t *activeAttempt) bool {
	for {
		o := t.awaitEvent(a.mayHedge(t))
		if errors.Is(o.err, errStalled) || errors.Is(o.err, errHedged) {
			o = a.race(ctx, t)
		}
		t = o.attempt
		if o.err != nil {
			again := a.streamEnded(ctx, &o)
			t.close()
			return again
		}
		if !a.passOn(ctx, &o) {
			return false
		}
	}
}

// passOn passes an event on to the caller, and reports whether to go on.
func (a *activeRequest) passOn(ctx context.Context, o *outcome) bool {
	err := a.beginStream(o.attempt)
	if err == nil {
		err = a.exchange.WriteEvent(o.event)
	}
	if err != nil {
		o.attempt.close() // at once: recording it may take a while when hundreds of callers are cut at a time
		a.recordWriteError(err)
		o.err = errCallerGone
		a.recordFailedAttempt(ctx, o)
		a.exchange.Abort()
		return false
	}
	now := o.attempt.last
	if a.delivery.first.IsZero() {
		a.gateway.metrics.firstEvent.Record(now.Sub(a.request.Received))
	}
	a.delivery.record(now)
	if o.event.ID != "" {
		a.lastID = o.event.ID
	}
	return true
}

// beginStream passes on the head of the answer unless that has been done.
func (a *activeRequest) beginStream(t *activeAttempt) error {
	if a.begun {
		return nil
	}
	a.begun = true
	return a.exchange.BeginStream(t.reply)
}

// streamEnded handles the end of the last attempt that was running, and reports whether to send the request again.
func (a *activeRequest) streamEnded(ctx context.Context, o *outcome) bool {
	switch {
	case o.isWhole():
		a.streamAnswered(o.attempt)
		return false
	case errors.Is(o.err, errNotStream):
		return a.nonStreamAnswer(ctx, o)
	default:
		return a.streamFailed(ctx, o)
	}
}

// streamAnswered ends a stream that has been passed on completely.
func (a *activeRequest) streamAnswered(t *activeAttempt) {
	if err := a.beginStream(t); err != nil {
		a.recordWriteError(err)
		a.log("caller lost", false, "err", err)
		return
	}
	a.reportAnswered(clock.Now())
	a.gateway.metrics.recordAnswer(t.head.Status, clock.Since(a.request.Received))
	a.log("answered", false, "endpoint", t.place.Endpoint.ID, "group", t.place.Group, "sends", a.sends, "last", a.lastID,
		"first_ms", a.delivery.first.Sub(a.request.Received).Milliseconds(), "pause_ms", a.delivery.longestGap.Milliseconds(), "ms", clock.Since(a.request.Received).Milliseconds())
}

// nonStreamAnswer handles an answer that is not a stream of events with a success status. It reports whether to send the request
// again, and otherwise passes the answer on, or refuses the request if a stream has begun.
func (a *activeRequest) nonStreamAnswer(ctx context.Context, o *outcome) bool {
	t := o.attempt
	v := a.recordFailedAttempt(ctx, o)
	switch {
	case v == verdict.NotRun:
		a.exclude(o)
		return a.afterNotRun(ctx)
	case t.head.Status >= minServerErrorStatus && ctx.Err() == nil && a.mayResend(v):
		a.exclude(o)
		return true
	case a.begun:
		a.fail(ctx, "the stream could not be resumed")
		return false
	}
	body, err := t.reply.Body(a.deadline)
	if err != nil {
		a.fail(ctx, err.Error())
		return false
	}
	err = a.exchange.WriteAnswer(t.reply, body)
	a.recordWriteError(err)
	a.gateway.metrics.recordAnswer(t.head.Status, clock.Since(a.request.Received))
	a.unsuccessful = true
	a.log("answered", true, "endpoint", t.place.Endpoint.ID, "status", t.head.Status, "sends", a.sends, "err", err)
	return false
}

// errCallerGone means that events can no longer be passed on to the caller.
var errCallerGone = errors.New("the caller has disconnected")

// streamFailed handles an attempt that ended without a complete answer and reports whether to send the request again.
func (a *activeRequest) streamFailed(ctx context.Context, o *outcome) bool {
	v := a.recordFailedAttempt(ctx, o)
	switch {
	case errors.Is(o.err, errHeldBack):
	case v == verdict.NotRun:
		a.exclude(o)
		return a.afterNotRun(ctx)
	case ctx.Err() == nil && a.mayResend(v):
		a.exclude(o)
		return true
	}
	a.fail(ctx, o.err.Error())
	return false
}
