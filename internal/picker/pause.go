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
	return fmt.Sprintf("each endpoint that serves it wants nothing for %s", e.Left.Round(time.Millisecond))
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

// pauses tell until when endpoints want nothing from this node, by their IDs.
type pauses map[string]time.Time

// ask notes that an endpoint wants nothing until then; an earlier word for longer holds on.
func (p pauses) ask(endpoint string, until time.Time) {
	if until.After(p[endpoint]) {
		p[endpoint] = until
	}
}

// left returns how much longer the endpoint wants nothing, zero if it takes requests.
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

// AskedToPause notes that the endpoint wants nothing more from this node for that long.
func (p *Place) AskedToPause(pause time.Duration, now time.Time) {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	p.picker.pauses.ask(p.Endpoint.ID, now.Add(pause))
}

// PauseLeft returns how much longer the endpoint wants nothing from this node.
func (p *Place) PauseLeft(now time.Time) time.Duration {
	p.picker.mu.Lock()
	defer p.picker.mu.Unlock()
	return p.picker.pauses.left(p.Endpoint.ID, now)
}

// Pausing returns how many endpoints want nothing from this node.
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
