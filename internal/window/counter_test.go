package window_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/window"
)

const span = 2 * time.Second

// Sum includes all events within Covered(span) and none that is older than span.
func TestSumCoversTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		c := window.NewCounter(span, start)
		var events []time.Time
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			c.Add(now)
			events = append(events, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "rest")) * time.Millisecond)
		least, most := 0, 0
		for _, at := range events {
			if now.Sub(at) < window.Covered(span) {
				least++
			}
			if now.Sub(at) < span {
				most++
			}
		}
		if sum := c.Sum(now); sum < least || sum > most {
			t.Fatalf("sum is %d, want between %d and %d", sum, least, most)
		}
	})
}

func TestWindowIsEmptyAfterALongPause(t *testing.T) {
	c := window.NewCounter(span, time.Unix(1000, 0))
	c.Add(time.Unix(1000, 0))
	qt.Check(t, c.Sum(time.Unix(1001, 0)), qt.Equals, 1)
	qt.Check(t, c.Sum(time.Unix(5000, 0)), qt.Equals, 0)
}

func TestRemovedEventNoLongerCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	c := window.NewCounter(10*time.Second, start)
	c.Add(start)
	c.Add(start.Add(time.Second))
	c.Remove(start, start.Add(2*time.Second))
	qt.Check(t, c.Sum(start.Add(2*time.Second)), qt.Equals, 1)
	c.Remove(start.Add(time.Second), start.Add(12*time.Second))
	qt.Check(t, c.Sum(start.Add(12*time.Second)), qt.Equals, 0, qt.Commentf("the event had left the window"))
	c.Add(start.Add(12 * time.Second))
	c.Remove(start.Add(time.Second), start.Add(12*time.Second))
	qt.Check(t, c.Sum(start.Add(12*time.Second)), qt.Equals, 1, qt.Commentf("events of a later slice stay"))
}
