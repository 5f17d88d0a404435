package queueing

import (
	"math"
	"time"
)

// Rate is an exponentially weighted rate of events. The zero value is ready for use.
type Rate struct {
	perSecond float64
	last      time.Time
}

// rateWindow is the time constant of the exponential decay.
const rateWindow = 2 * time.Second

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / rateWindow.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if r.last.IsZero() {
		r.last = now
		return
	}
	passed := now.Sub(r.last)
	r.last = now
	r.perSecond *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
}

// PerSecond returns the rate decayed to now.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.perSecond
}
