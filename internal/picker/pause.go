package picker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// PausedError is returned when each endpoint that serves what is wanted has asked for a pause that lasts longer than the request
// can wait. The request has not been sent.
type PausedError struct {
	Left time.Duration // until the first pause ends
}

func (e *PausedError) Error() string {
	return fmt.Sprintf("each endpoint that serves it has asked for a pause, the shortest of %s", e.Left.Round(time.Millisecond))
}

func isPaused(err error) bool {
	var paused *PausedError
	return errors.As(err, &paused)
}

// leastPause returns the shortest pause, zero if there are no candidates.
func leastPause(candidates []candidate) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	return slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.pause, b.pause) }).pause
}

// pauses are the ends of the pauses that endpoints have asked this node for, by their IDs.
type pauses map[string]time.Time

// ask notes a pause until then; an earlier one that lasts longer holds on.
func (p pauses) ask(endpoint string, until time.Time) {
	if until.After(p[endpoint]) {
		p[endpoint] = until
	}
}

// left returns what is left of the endpoint's pause, zero if it has none.
func (p pauses) left(endpoint string, now time.Time) time.Duration {
	return max(0, p[endpoint].Sub(now))
}

// sweep forgets the pauses that are over.
func (p pauses) sweep(now time.Time) {
	for endpoint, until := range p {
		if !now.Before(until) {
			delete(p, endpoint)
		}
	}
}

// AskedToPause notes that the endpoint has asked this node for a pause of that length.
func (p *Place) AskedToPause(pause time.Duration, now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.pauses.ask(p.Endpoint.ID, now.Add(pause))
}

// PauseLeft returns what is left of the endpoint's pause.
func (p *Place) PauseLeft(now time.Time) time.Duration {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	return p.picker.pauses.left(p.Endpoint.ID, now)
}

// Pausing returns how many endpoints have asked this node for a pause that is not over.
func (p *Picker) Pausing(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for endpoint := range p.pauses {
		if p.pauses.left(endpoint, now) > 0 {
			n++
		}
	}
	return n
}
