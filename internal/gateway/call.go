package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/retry"
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
		again := a.callOnce(ctx, place)
		place.Release()
		if !again {
			return
		}
		a.exclude(place)
	}
}

// callOnce sends the request to the place's endpoint and reports whether to send it again elsewhere.
func (a *activeRequest) callOnce(ctx context.Context, place *picker.Place) bool {
	sent := a.recordSend(place)
	reply, err := a.exchange.Send(ctx, a.attempt(place, false))
	if err != nil {
		return a.callFailed(ctx, place, err)
	}
	defer reply.Close()
	head, body, err := a.awaitAnswer(ctx, place, reply, sent)
	if err != nil {
		return a.callFailed(ctx, place, err)
	}
	now := clock.Now()
	if head.NotRun {
		a.recordNotRun(place, head)
		return a.afterNotRun(ctx)
	}
	a.ran++
	if head.Status >= minServerErrorStatus {
		a.recordFailedAnswer(place, head)
		if ctx.Err() == nil && a.mayResend(verdict.Ran) {
			return true
		}
	} else {
		place.RecordFirstEvent(now.Sub(sent), now)
		a.reportBegun(now)
		a.reportAnswered(now)
	}
	err = a.exchange.WriteAnswer(reply, body)
	a.delivery.record(now)
	a.recordWriteError(err)
	a.unsuccessful = err != nil || head.Status >= minServerErrorStatus
	a.gateway.metrics.recordAnswer(head.Status, now.Sub(a.request.Received))
	a.log("answered", err != nil, "endpoint", place.Endpoint.ID, "status", head.Status, "sends", a.sends,
		"ms", now.Sub(a.request.Received).Milliseconds(), "err", err)
	return false
}

// awaitAnswer waits for the whole answer until the request's deadline. If the request may be hedged, it waits for the head only
// until the hedging delay has passed, and then returns errHedged if the retry budget allows another attempt.
func (a *activeRequest) awaitAnswer(ctx context.Context, place *picker.Place, reply Reply, sent time.Time) (Head, []byte, error) {
	until := a.deadline
	if hedge := sent.Add(time.Duration(hedgeFraction * float64(a.route.Objective))); a.route.MayRepeat() && a.ran+1 < a.route.MaxAttempts && hedge.Before(until) {
		until = hedge
	}
	head, err := reply.Head(until)
	if errors.Is(err, ErrNotYet) && until.Before(a.deadline) && ctx.Err() == nil {
		if a.sends < maxSends && a.takeRetry(retry.Hedge, hedgeReason) {
			return head, nil, errHedged
		}
		head, err = reply.Head(a.deadline)
	}
	a.recordAnnouncements(place, head, sent)
	if err != nil || head.NotRun {
		return head, nil, err
	}
	body, err := reply.Body(a.deadline)
	return head, body, err
}

// recordAnnouncements records the rate limit, leaving and pause that the endpoint announced in the answer to a request sent at
// sent. It does nothing if no answer has arrived.
func (a *activeRequest) recordAnnouncements(place *picker.Place, head Head, sent time.Time) {
	if head.Status == 0 {
		return
	}
	now := clock.Now()
	place.RecordLimit(head.Limit, sent, now)
	if head.Leaving {
		place.RecordLeaving(now)
	}
	if head.RetryAfter > 0 {
		a.gateway.metrics.pauses.Inc(1)
		place.RecordPause(head.RetryAfter, now)
	}
}

// errHedged means that no answer came within the hedging delay and the request is to be sent to another endpoint. The attempt
// has already been taken from the retry budget.
var errHedged = errors.New("no answer within the hedging delay; another endpoint is tried")

func (a *activeRequest) callFailed(ctx context.Context, place *picker.Place, err error) bool {
	v := verdict.Of(err)
	a.reportFailure(ctx, place, err, false)
	a.recordPlaceFailure(place, err)
	a.recordEnd(ctx, err, "endpoint", place.Endpoint.ID, "verdict", v.String(), "fingerprint", a.signature.Request, "prompt_parts", a.request.PromptParts)
	if errors.Is(err, errHedged) {
		a.ran++
		return true
	}
	if v == verdict.NotRun {
		return a.afterNotRun(ctx)
	}
	a.ran++
	if ctx.Err() == nil && a.mayResend(v) {
		return true
	}
	a.fail(ctx, err.Error())
	return false
}

// recordNotRun records that an endpoint answered that it did not run the request. Retry-After does not count as a refusal: the
// endpoint gets its share of requests again after the pause.
func (a *activeRequest) recordNotRun(place *picker.Place, head Head) {
	pairs := []any{"endpoint", place.Endpoint.ID, "group", place.Group, "verdict", verdict.NotRun.String(), "status", head.Status}
	if head.RetryAfter > 0 {
		pairs = append(pairs, "retry_after_ms", head.RetryAfter.Milliseconds())
	} else {
		place.RecordRefusal(clock.Now())
	}
	a.endCause = endedByEndpoint
	a.log("failed", false, pairs...)
}

// recordFailedAnswer records an answer that counts as a failure of the endpoint.
func (a *activeRequest) recordFailedAnswer(place *picker.Place, head Head) {
	place.RecordFailure(false, clock.Now())
	a.endCause = endedByEndpoint
	a.log("failed", false, "endpoint", place.Endpoint.ID, "group", place.Group, "verdict", verdict.Ran.String(), "status", head.Status)
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
