package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/verdict"
)

const (
	// hedgeFraction is the fraction of the route's objective after which a repeatable request without an answer is sent to
	// another endpoint.
	hedgeFraction = 0.6
	// minServerErrorStatus is the lowest HTTP status that reports a failure of the endpoint itself.
	minServerErrorStatus = 500
	// hedgeReason is the logged reason of attempts that are sent although the one before may still be answered.
	hedgeReason = "hedged"
)

// serveCall serves a request whose answer is read completely before it is passed on.
func (a *activeRequest) serveCall(ctx context.Context) {
	for {
		place, err := a.acquire(ctx)
		if err != nil {
			a.refuseWithoutPlace(ctx, err)
			return
		}
		t := a.newAttempt(ctx, place)
		o := t.awaitAnswer(a.hedgeTime(t))
		if errors.Is(o.err, errHedged) {
			o = a.race(ctx, t)
		}
		again := a.callEnded(ctx, &o)
		o.attempt.close()
		if !again {
			return
		}
		a.exclude(&o)
	}
}

// hedgeTime returns when another attempt may be started beside the given one if it has not been answered by then; the deadline if none
// may.
func (a *activeRequest) hedgeTime(t *activeAttempt) time.Time {
	at := t.sent.Add(time.Duration(hedgeFraction * float64(a.route.Objective)))
	if !a.mayHedge(t) || at.After(a.deadline) {
		return a.deadline
	}
	return at
}

// callEnded handles the outcome of the last attempt that was running, and reports whether to send the request again.
func (a *activeRequest) callEnded(ctx context.Context, o *outcome) bool {
	if o.err != nil || !isConclusive(o.attempt.head) {
		v := a.recordFailedAttempt(ctx, o)
		switch {
		case v == verdict.NotRun:
			return a.afterNotRun(ctx)
		case ctx.Err() == nil && a.mayResend(v):
			return true
		case o.err != nil:
			a.fail(ctx, o.err.Error())
			return false
		}
	}
	a.passOnAnswer(o.attempt)
	return false
}

// passOnAnswer passes on a whole answer.
func (a *activeRequest) passOnAnswer(t *activeAttempt) {
	now := clock.Now()
	failed := t.head.Status >= minServerErrorStatus
	if !failed {
		t.place.RecordFirstEvent(now.Sub(t.sent), now)
		a.gateway.Quarantine.Begun(a.signature.Parts, now)
		a.reportAnswered(now)
	}
	err := a.exchange.WriteAnswer(t.reply, t.body)
	a.delivery.record(now)
	a.recordWriteError(err)
	a.unsuccessful = err != nil || failed
	a.gateway.metrics.recordAnswer(t.head.Status, now.Sub(a.request.Received))
	a.log("answered", err != nil, "endpoint", t.place.Endpoint.ID, "status", t.head.Status, "sends", a.sends,
		"ms", now.Sub(a.request.Received).Milliseconds(), "err", err)
}

// afterNotRun handles an attempt that did not run. It reports whether to send the request again, and refuses it otherwise.
func (a *activeRequest) afterNotRun(ctx context.Context) bool {
	if ctx.Err() == nil && a.mayResend(verdict.NotRun) {
		return true
	}
	if a.ran > 0 {
		a.fail(ctx, "the last endpoint did not run it")
		return false
	}
	a.refuse(Refusal{Reason: NotRun, Detail: "the endpoint did not run it", RetryAfter: defaultRetryAfter})
	return false
}
