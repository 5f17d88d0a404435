package gateway

import (
	"context"
	"errors"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/tunnel"
	"moorrun.dev/moorrun/internal/verdict"
)

// recordFailedAttempt records an attempt that has brought nothing to pass on, and returns its verdict.
func (a *activeRequest) recordFailedAttempt(ctx context.Context, o *outcome) verdict.Verdict {
	t := o.attempt
	if o.err == nil || errors.Is(o.err, errNotStream) {
		if t.head.NotRun {
			a.ran--
			a.recordNotRun(t.place, *t.head)
			return verdict.NotRun
		}
		a.recordFailedAnswer(t.place, *t.head)
		return verdict.Ran
	}
	v := verdict.Of(o.err)
	if v == verdict.NotRun {
		a.ran--
	}
	a.reportFailure(ctx, t.place, o.err, t.begun)
	a.recordPlaceFailure(ctx, t.place, o.err)
	a.recordEnd(ctx, o.err, "endpoint", t.place.Endpoint.ID, "group", t.place.Group, "verdict", v.String(), "fingerprint", a.signature.Request,
		"prompt_parts", a.request.PromptParts, "begun", t.begun, "last", a.lastID, "silent_ms", clock.Since(t.last).Milliseconds())
	return v
}

// recordOvertaken records an attempt that is closed because another one, which was sent before it, has gone on.
func (a *activeRequest) recordOvertaken(ctx context.Context, o *outcome) {
	a.gateway.metrics.overtaken.Inc(1)
	a.reportFailure(ctx, o.attempt.place, o.err, o.attempt.begun)
	a.log("overtaken", false, "endpoint", o.attempt.place.Endpoint.ID, "group", o.attempt.place.Group)
}

// recordEnd records what ended an attempt without a complete answer, and logs it with pairs.
func (a *activeRequest) recordEnd(ctx context.Context, err error, pairs ...any) {
	a.endCause = endCauseOf(ctx, a.deadline, err)
	a.gateway.metrics.attemptsEnded[a.endCause].Inc(1)
	a.log("failed", false, append(append(pairs, "err", err, "by", string(a.endCause)), a.configurations()...)...)
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

// recordPlaceFailure records that an attempt failed at the place, unless it failed on the way there or was given up for its silence,
// which the picker has been told already.
func (a *activeRequest) recordPlaceFailure(ctx context.Context, place *picker.Place, err error) {
	v := verdict.Of(err)
	switch {
	case errors.Is(err, tunnel.ErrBroken), errors.Is(err, errStalled), errors.Is(err, errHeldBack), errors.Is(err, errCallerGone):
	case errors.Is(err, ErrNoAnswer):
		a.gateway.metrics.malformed.Inc(1)
		place.RecordNoAnswer(clock.Now())
	case a.isStream() && v != verdict.NotRun && ctx.Err() != nil:
	default:
		place.RecordFailure(v == verdict.NotRun, clock.Now())
	}
}
