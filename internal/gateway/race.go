package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/retry"
)

const (
	// hedgePollInterval is how often a place for another attempt is looked for.
	hedgePollInterval = 50 * time.Millisecond
	// hedgeRefusedInterval is how long no other attempt is tried after one was held back or the retry budget has refused one. It doubles with
	// each refusal.
	hedgeRefusedInterval = 600 * time.Millisecond
)

// errOvertaken means that another attempt of the same request has brought its next event, or its answer.
var errOvertaken = errors.New("another attempt of the request was faster")

// race waits for an attempt that has been silent for some time and, as soon as there is a place for it, for another one beside it. What
// is silent may go on at any moment, so no attempt is given up before another has brought something to pass on.
type race struct {
	request  *activeRequest
	began    time.Time
	running  []*activeAttempt
	outcomes chan outcome

	hedgeAt time.Time     // when to look for a place for another attempt
	refused time.Duration // the last wait because the retry budget refused an attempt; zero if it has not
}

// race returns the first outcome that settles the request's next event or its answer, or that of the last attempt if all fail. All
// other attempts are closed.
func (a *activeRequest) race(ctx context.Context, silent *activeAttempt) outcome {
	now := clock.Now()
	r := &race{request: a, began: now, hedgeAt: now, outcomes: make(chan outcome, maxSends)}
	a.log("silent", false, "endpoint", silent.place.Endpoint.ID, "group", silent.place.Group, "err", a.silenceError(), "begun", silent.begun,
		"last", a.lastID, "silent_ms", now.Sub(silent.last).Milliseconds())
	r.start(silent)
	for {
		select {
		case o := <-r.outcomes:
			r.running = slices.DeleteFunc(r.running, func(t *activeAttempt) bool { return t == o.attempt })
			if a.settles(&o) || len(r.running) == 0 {
				r.closeOthers(ctx, silent)
				return o
			}
			a.recordFailedAttempt(ctx, &o)
			a.exclude(&o)
			o.attempt.close()
		case <-r.nextHedge():
			r.hedge(ctx)
		}
	}
}

// start waits for the outcome of an attempt in a goroutine of its own.
func (r *race) start(t *activeAttempt) {
	r.running = append(r.running, t)
	go func() { r.outcomes <- t.await() }()
}

// nextHedge returns a channel that receives when another attempt is to be tried; nil if none may be.
func (r *race) nextHedge() <-chan time.Time {
	if len(r.running) > 1 || !r.request.mayHedge(r.running[0]) {
		return nil
	}
	return time.After(max(0, clock.Until(r.hedgeAt)))
}

// hedge starts another attempt if there is a place for it at a group that is not known to have stalled. If all have, moving streams among
// them would only let each read prompts anew.
func (r *race) hedge(ctx context.Context) {
	a, now := r.request, clock.Now()
	r.hedgeAt = now.Add(hedgePollInterval)
	w, err := a.requirements()
	if err != nil {
		return
	}
	w.SkipStalled = true
	w.Exclude = append(slices.Clone(w.Exclude), r.running[0].place.Key())
	place := a.gateway.Picker.AcquireBeside(w, now.Sub(r.began) >= w.MaxWait)
	if place == nil {
		return
	}
	a.trial = nil
	if a.heldBack() != nil {
		place.Release()
		r.hedgeAt = now.Add(hedgeRefusedInterval)
		return
	}
	if !a.takeHedge() {
		place.Release()
		r.refused = max(hedgeRefusedInterval, 2*r.refused)
		r.hedgeAt = now.Add(r.refused)
		return
	}
	r.start(a.newAttempt(ctx, place))
}

// closeOthers closes the attempts that still run. Only the one that was silent counts as failed.
func (r *race) closeOthers(ctx context.Context, silent *activeAttempt) {
	for _, t := range r.running {
		t.cancel()
	}
	for range r.running {
		t := (<-r.outcomes).attempt
		o := &outcome{attempt: t, err: errOvertaken}
		if t == silent {
			o.err = r.request.silenceError()
			r.request.recordFailedAttempt(ctx, o)
			r.request.exclude(o)
		} else {
			r.request.recordOvertaken(ctx, o)
		}
		t.close()
	}
}

// silenceError returns why another attempt runs beside a silent one.
func (a *activeRequest) silenceError() error {
	if a.isStream() {
		return errStalled
	}
	return errHedged
}

// mayHedge reports whether another attempt may run beside the given one, apart from the retry budget.
func (a *activeRequest) mayHedge(t *activeAttempt) bool {
	return a.route.MayRepeat() && a.ran < a.route.MaxAttempts && a.sends < maxSends && len(t.trial) == 0
}

// takeHedge takes a retry for an attempt beside one that is silent.
func (a *activeRequest) takeHedge() bool {
	use, reason := retry.Hedge, hedgeReason
	if a.isStream() {
		use, reason = a.retryUse(), stalledReason
	}
	if !a.takeRetry(use, reason) {
		return false
	}
	a.retryTaken = time.Time{} // it is sent at once
	if a.isStream() {
		a.gateway.metrics.resends.Inc(1)
	}
	return true
}

// settles reports whether the outcome decides what the caller gets next, so that no other attempt needs to go on.
func (a *activeRequest) settles(o *outcome) bool {
	switch {
	case errors.Is(o.err, errNotStream):
		return !a.begun && isConclusive(o.attempt.head)
	case o.err == nil && !a.isStream():
		return isConclusive(o.attempt.head)
	default:
		return o.err == nil || o.isWhole()
	}
}

// isConclusive reports whether an answer is passed on even if another attempt still runs.
func isConclusive(h *Head) bool { return !h.NotRun && h.Status < minServerErrorStatus }
