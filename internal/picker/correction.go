package picker

import (
	"math"
	"time"
)

// correctionDecay is the time constant with which a correction factor returns to 1 without new observations. It is as long as
// the first stall back-off, after which a group is tried again too; four times as long made no difference in a simulated fleet.
const correctionDecay = stallBackoff

// correction is the ratio of observed to predicted times of a group that is slower than predicted, at least 1.
type correction struct {
	excess  float64 // moving average of the ratio less 1, at updated
	updated time.Time
	epoch   int64 // of the group that it belongs to; 0 before the first choice
}

// observe includes the ratio of an observed time to the predicted one; it has no effect if nothing was predicted.
func (c *correction) observe(observed, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	old := c.factor(now) - 1
	c.excess = old + smoothing*(float64(observed)/float64(predicted)-1-old)
	c.updated = now
}

// factor returns the ratio at a time.
func (c *correction) factor(now time.Time) float64 {
	if c.excess <= 0 {
		return 1
	}
	return 1 + c.excess*math.Exp(-now.Sub(c.updated).Seconds()/correctionDecay.Seconds())
}

// correctionOf returns the correction factor of a candidate's group, and resets it if the group has restarted.
func (p *Picker) correctionOf(c *candidate, now time.Time) float64 {
	h := p.health[c.group]
	if h == nil {
		return 1
	}
	epoch := c.endpoint.Membership.Epoch
	if h.correction.epoch == 0 {
		h.correction.epoch = epoch // observed so far only in this epoch
	}
	if epoch != h.correction.epoch {
		h.correction = correction{epoch: epoch}
	}
	return h.correction.factor(now)
}
