package formation

import (
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
)

// workInterval is the interval at which the leader logs its own work.
const workInterval = time.Second

// maxStepShare is the largest part of the time that steps may take. Every answer to an order or probe wakes the loop, and each step
// looks at the whole fleet. Without a limit a leader has too little time left to read answers, takes endpoints for silent that have
// answered, and causes more answers by what it does then.
const maxStepShare = 1.0 / 8

// Work is what the leader itself has done and waited for within workInterval. A leader that is short of processor time takes
// endpoints for silent that have answered.
type Work struct {
	Steps       int
	StepTime    time.Duration // of all steps
	LongestStep time.Duration
	Orders      int           // with an outcome
	Unanswered  int           // orders and probes without an answer
	Probes      int           // with a result
	OrderTime   time.Duration // of all orders, from sending to the outcome
	OrderWait   time.Duration // of all orders, for a free slot
}

// addStep adds a step that began at the given time.
func (w *Work) addStep(began time.Time) {
	d := clock.Since(began)
	w.Steps++
	w.StepTime += d
	w.LongestStep = max(w.LongestStep, d)
}

// meanOrder returns the mean time from sending an order to its outcome.
func (w *Work) meanOrder() time.Duration { return w.OrderTime / time.Duration(max(1, w.Orders)) }

// LastWork returns what the leader did within the last whole workInterval; zero if this node does not hold the lease.
func (c *Controller) LastWork(now time.Time) Work {
	if c.Leads(now) == 0 {
		return Work{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWork
}

// reportWork logs the work since the last report, once per workInterval. Callers hold mu.
func (c *Controller) reportWork(now time.Time) {
	if now.Sub(c.workSince) < workInterval {
		return
	}
	w := c.work
	c.work, c.lastWork, c.workSince = Work{}, w, now
	_ = level.Info(c.Logger).Log("msg", "work", "steps", w.Steps, "step_ms", w.StepTime.Milliseconds(), "longest_step_ms", w.LongestStep.Milliseconds(),
		"orders", w.Orders, "order_ms", w.meanOrder().Milliseconds(), "order_wait_ms", (w.OrderWait / time.Duration(max(1, w.Orders))).Milliseconds(),
		"probes", w.Probes, "unanswered", w.Unanswered, "probing", c.activeProbes, "ordering", len(c.orderSlots))
}
