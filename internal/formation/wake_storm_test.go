package formation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/route"
)

// Guards against a leader that is kept in steps by the answers to its own orders and probes, and so reads them too late.
func TestAnswersDoNotKeepTheLeaderInSteps(t *testing.T) {
	const stepTime, answers = 5 * time.Millisecond, 400
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(&fakeEngine{}, func(time.Time) (int64, time.Time, bool) { return 0, time.Time{}, false })
		steps := 0
		c.Table = func() *route.Table {
			steps++
			time.Sleep(stepTime)
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for range answers {
				time.Sleep(time.Second / answers)
				c.Wake()
			}
			cancel()
		}()
		qt.Check(t, c.Run(ctx), qt.IsNil)
		busy := time.Duration(steps) * stepTime
		qt.Check(t, busy <= time.Second/4, qt.IsTrue, qt.Commentf("%d steps took %v of a second", steps, busy))
		qt.Check(t, steps >= int(time.Second/stepInterval), qt.IsTrue, qt.Commentf("%d steps", steps))
	})
}
