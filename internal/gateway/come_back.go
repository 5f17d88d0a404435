package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/picker"
)

// comeBackAfter returns the Retry-After of a request that was refused with err for lack of a place: its appointment if the rate at
// which places become free is known, and otherwise as long as the shortage has lasted.
func (a *activeRequest) comeBackAfter(err error) time.Duration {
	now := clock.Now()
	if errors.Is(err, picker.ErrNoPlace) {
		if after, known := a.gateway.Picker.Appoint(a.requirements, uint64(a.fingerprint), a.deadline, now); known {
			return after
		}
	}
	return a.gateway.shortages.RecordRefusal(a.service.Name+"/"+a.request.Model, now)
}

// retryJitter is the largest fraction of a wait that is added at random, so that callers that wait for the same moment do not
// all retry at once.
const retryJitter = 0.25

// addJitter returns wait extended by a random part of up to retryJitter of it.
func addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryJitter*rand.Float64()*float64(wait)) //nolint:gosec // jitter need not be unpredictable
}
