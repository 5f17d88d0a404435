package gateway

import (
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/verdict"
)

// mayResend reports whether the request may be sent again after an attempt that failed with verdict v, and takes a retry for the
// next attempt if so.
func (a *activeRequest) mayResend(v verdict.Verdict) bool {
	if a.sends >= maxSends || !clock.Now().Before(a.deadline) {
		return false // the context may expire slightly after the deadline
	}
	if v != verdict.NotRun && (!a.route.MayRepeat() || a.ran >= max(1, a.route.MaxAttempts)) {
		return false
	}
	if !a.takeRetry(a.retryUse(), v.String()) {
		return false
	}
	a.gateway.metrics.resends.Inc(1)
	return true
}

// retryUse returns what a retry after a failed attempt is for.
func (a *activeRequest) retryUse() retry.Use {
	if a.begun {
		return retry.Resume
	}
	return retry.Resend
}

// takeRetry takes a retry from the service's budget for the next attempt and reports whether it was granted. The log tells the
// reason for the retry and what the decision was based on.
func (a *activeRequest) takeRetry(use retry.Use, reason string) bool {
	now := clock.Now()
	state, granted := a.budget.Take(use, now)
	event := "resend"
	if granted {
		a.retryTaken = now
	} else {
		event = "resend refused"
		a.gateway.metrics.resendsRefused.Inc(1)
	}
	a.log(event, false, "service", a.service.Name, "reason", reason, "begun", a.begun, "available", state.Available, "size", state.Size,
		"retries", state.Retries, "requests", state.Requests, "nodes", state.Nodes.All, "busy_nodes", state.Nodes.Busy, "process_age_ms", state.Age.Milliseconds())
	return granted
}

// returnRetry gives back the retry taken for the next attempt, which is not sent.
func (a *activeRequest) returnRetry() {
	if a.retryTaken.IsZero() {
		return
	}
	a.budget.Return(a.retryTaken, clock.Now())
	a.retryTaken = time.Time{}
}

// useRetry uses the retry taken for the next attempt, which is about to be sent. It reports whether it still counts when that
// attempt arrives. The first attempt needs none.
func (a *activeRequest) useRetry() bool {
	taken := a.retryTaken
	a.retryTaken = time.Time{}
	return taken.IsZero() || a.budget.Renew(a.retryUse(), taken, clock.Now())
}
