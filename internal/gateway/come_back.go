package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/picker"
)

// comeBackAfter returns the Retry-After of a request that was refused with err for lack of a place: its appointment if the rate at
// which places become free is known, and otherwise as long as the shortage has lasted.
func (a *activeRequest) comeBackAfter(err error) time.Duration {
	now := clock.Now()
	after, known := time.Duration(0), false
	if errors.Is(err, picker.ErrNoPlace) {
		after, known = a.gateway.Picker.Appoint(a.requirements, uint64(a.fingerprint), a.deadline, now)
	}
	if !known {
		after = a.gateway.shortages.RecordRefusal(a.service.Name+"/"+a.request.Model, now)
	}
	if errors.Is(err, picker.ErrNoPlace) || errors.Is(err, picker.ErrNoEndpoint) {
		a.gateway.recordOverload(servedModel{a.service.Name, a.requirements.Model}, after, now)
	}
	return after
}

// inTimeWait returns the longest wait for a place after which the first event can still arrive within the objective: what is left of
// it beyond the first event at a group that reads no other prompt. It is positive, as 0 would mean that it is unknown.
func (a *activeRequest) inTimeWait(w *picker.Requirements) time.Duration {
	model := w.Engine
	model.Writers = float64(w.Slots)
	fastest := model.FirstEvent(float64(w.PromptTokens), engine.Mix{})
	return max(1, w.Objective-fastest-clock.Since(a.request.Received))
}

// lateWait returns the longest wait of a request that can no longer be in time. A caller that is refused comes back within a third of
// its remaining time, so a wait of that length costs it nothing.
func lateWait(remaining time.Duration) time.Duration { return max(0, remaining/3) }

// retryJitter is the largest fraction of a wait that is added at random, so that callers that wait for the same moment do not
// all retry at once.
const retryJitter = 0.25

// addJitter returns wait extended by a random part of up to retryJitter of it.
func addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait)) //nolint:gosec // jitter need not be unpredictable
}
