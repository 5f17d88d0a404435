package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/verdict"
)

const (
	// hedgePart is the part of the objective after which a request that may run again is sent elsewhere.
	hedgePart = 0.6
	// serverError is the first status by which an endpoint reports a failure of its own.
	serverError = 500
)

// call serves a request whose answer is passed on as a whole.
func (f *flight) call(ctx context.Context) {
	for {
		place, err := f.acquire(ctx)
		if err != nil {
			f.noPlace(ctx, err)
			return
		}
		again := f.callOnce(ctx, place)
		place.Release()
		if !again {
			return
		}
		f.avoid(place)
	}
}

// callOnce sends the request once and reports whether it is to be sent again.
func (f *flight) callOnce(ctx context.Context, place *picker.Place) bool {
	sent := f.sending(place)
	reply, err := f.exchange.Send(ctx, f.attempt(place, false))
	if err != nil {
		return f.callFailed(ctx, place, err)
	}
	defer reply.Close()
	head, body, err := f.answer(ctx, place, reply, sent)
	if err != nil {
		return f.callFailed(ctx, place, err)
	}
	now := clock.Now()
	if head.NotRun {
		f.shed(place, head)
		return f.notRun(ctx, place)
	}
	f.ran++
	if head.Status >= serverError {
		place.RecordFailure(false, now)
		if ctx.Err() == nil && f.mayResend(verdict.Ran) {
			f.log("resend", false, "endpoint", place.Endpoint.ID, "status", head.Status)
			return true
		}
	} else {
		place.RecordFirstEvent(now.Sub(sent), now)
		f.cleared(now)
	}
	err = f.exchange.Whole(reply, body)
	f.delivery.event(now)
	f.misserved = err != nil || head.Status >= serverError
	f.gateway.meters.done(head.Status, now.Sub(f.request.Received))
	f.log("answered", err != nil, "endpoint", place.Endpoint.ID, "status", head.Status, "sends", f.sends,
		"ms", now.Sub(f.request.Received).Milliseconds(), "err", err)
	return false
}

// answer waits for the whole answer, or only for a part of the time if another endpoint may be asked.
func (f *flight) answer(ctx context.Context, place *picker.Place, reply Reply, sent time.Time) (Head, []byte, error) {
	until := f.deadline
	if hedge := sent.Add(time.Duration(hedgePart * float64(f.route.Objective))); f.route.MayRepeat() && f.ran+1 < f.route.MaxAttempts && hedge.Before(until) {
		until = hedge
	}
	head, err := reply.Head(until)
	if errors.Is(err, ErrNotYet) && until.Before(f.deadline) && ctx.Err() == nil {
		if f.sends < maxSends && f.budget.Take(clock.Now()) {
			return head, nil, errHedged
		}
		head, err = reply.Head(f.deadline)
	}
	f.heed(place, head, sent)
	if err != nil || head.NotRun {
		return head, nil, err
	}
	body, err := reply.Body(f.deadline)
	return head, body, err
}

// heed takes in what the answer to a request that was sent at sent says of its endpoint; nothing if none has come.
func (f *flight) heed(place *picker.Place, head Head, sent time.Time) {
	if head.Status == 0 {
		return
	}
	now := clock.Now()
	place.RecordLimit(head.Limit, sent, now)
	if head.Leaving {
		place.RecordLeaving(now)
	}
	if head.RetryAfter > 0 {
		f.gateway.meters.pauses.Inc(1)
		place.RecordPause(head.RetryAfter, now)
	}
}

// errHedged means that the answer has not come in time and another endpoint is to be asked; the repeat is paid.
var errHedged = errors.New("no answer in time to ask another endpoint")

func (f *flight) callFailed(ctx context.Context, place *picker.Place, err error) bool {
	now := clock.Now()
	v := verdict.Of(err)
	f.suspect(ctx, place, err)
	place.RecordFailure(v == verdict.NotRun, now)
	f.log("failed", false, "endpoint", place.Endpoint.ID, "verdict", v.String(), "fingerprint", f.fingerprint, "err", err)
	if errors.Is(err, errHedged) {
		f.ran++
		return true
	}
	if v == verdict.NotRun {
		return f.notRun(ctx, place)
	}
	f.ran++
	if ctx.Err() == nil && f.mayResend(v) {
		return true
	}
	f.fail(ctx, err.Error())
	return false
}

// shed notes that an endpoint said it would not run the request. One that sends Retry-After has not failed: it gets
// its share again afterwards.
func (f *flight) shed(place *picker.Place, head Head) {
	pairs := []any{"endpoint", place.Endpoint.ID, "group", place.Group, "verdict", verdict.NotRun.String(), "status", head.Status}
	if head.RetryAfter > 0 {
		pairs = append(pairs, "retry_after_ms", head.RetryAfter.Milliseconds())
	} else {
		place.RecordRefusal(clock.Now())
	}
	f.log("failed", false, pairs...)
}

// notRun decides what follows an attempt that did not run.
func (f *flight) notRun(ctx context.Context, place *picker.Place) bool {
	if ctx.Err() == nil && f.mayResend(verdict.NotRun) {
		f.log("resend", false, "endpoint", place.Endpoint.ID, "verdict", verdict.NotRun.String())
		return true
	}
	if f.ran > 0 {
		f.fail(ctx, "the last endpoint did not run it")
		return false
	}
	f.refuse(Refusal{Reason: NotRun, Detail: "the endpoint did not run it", RetryAfter: comeBack})
	return false
}
