package admission

import (
	"math"
	"time"
)

// rate is an exponentially weighted rate of events.
type rate struct {
	perSecond float64
	last      time.Time
}

// rateWindow is the time constant of the exponential decay.
const rateWindow = 2 * time.Second

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if r.last.IsZero() {
		r.last = now
		return
	}
	passed := now.Sub(r.last)
	r.last = now
	r.perSecond *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
}

func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.perSecond
}
