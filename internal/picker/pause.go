package picker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// PausedError is returned when every endpoint that could serve the request has requested a pause that lasts longer than the
// request can wait. The request has not been sent.
type PausedError struct {
	Remaining time.Duration // time until the first pause ends
}

func (e *PausedError) Error() string {
	return fmt.Sprintf("each endpoint that serves it has asked for a pause, the shortest of %s", e.Remaining.Round(time.Millisecond))
}

func isPaused(err error) bool {
	var paused *PausedError
	return errors.As(err, &paused)
}

// shortestPause returns the shortest remaining pause, zero if there are no candidates.
func shortestPause(candidates []candidate) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	return slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.remainingPause, b.remainingPause) }).remainingPause
}

// pauses holds, by endpoint ID, the ends of the pauses that endpoints have requested from this node.
type pauses map[string]time.Time

// extend sets the end of the endpoint's pause to until, unless its present pause ends later.
func (p pauses) extend(endpoint string, until time.Time) {
	if until.After(p[endpoint]) {
		p[endpoint] = until
	}
}

// remaining returns the remaining time of the endpoint's pause, zero if it has none.
func (p pauses) remaining(endpoint string, now time.Time) time.Duration {
	return max(0, p[endpoint].Sub(now))
}

// sweep removes the pauses that have ended.
func (p pauses) sweep(now time.Time) {
	for endpoint, until := range p {
		if !now.Before(until) {
			delete(p, endpoint)
		}
	}
}

// RecordPause records that the endpoint has requested that this node send it nothing for the given time.
func (p *Place) RecordPause(pause time.Duration, now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.pauses.extend(p.Endpoint.ID, now.Add(pause))
}

// RemainingPause returns the remaining time of the endpoint's pause, zero if it has none.
func (p *Place) RemainingPause(now time.Time) time.Duration {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	return p.picker.pauses.remaining(p.Endpoint.ID, now)
}

// Pausing returns the number of endpoints that have requested a pause from this node and whose pause has not ended.
func (p *Picker) Pausing(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for endpoint := range p.pauses {
		if p.pauses.remaining(endpoint, now) > 0 {
			n++
		}
	}
	return n
}
