package window_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/window"
)

// A value that is dropped before span has passed, or that stays beyond a slice after it, fails.
func TestMaxKeepsValuesForTheWindow(t *testing.T) {
	const slice = span - span*19/20
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		m := window.NewMax[int](span, start)
		type sample struct {
			value int
			at    time.Time
		}
		var samples []sample
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "values") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			value := rapid.IntRange(0, 100).Draw(t, "value")
			m.Add(value, now)
			samples = append(samples, sample{value, now})
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "rest")) * time.Millisecond)
		least, most := 0, 0
		for _, s := range samples {
			if now.Sub(s.at) < span {
				least = max(least, s.value)
			}
			if now.Sub(s.at) <= span+slice {
				most = max(most, s.value)
			}
		}
		if got := m.Value(now); got < least || got > most {
			t.Fatalf("got %d, expected %d to %d", got, least, most)
		}
	})
}

func TestMaxIsZeroWithoutValues(t *testing.T) {
	start := time.Unix(1000, 0)
	m := window.NewMax[float64](span, start)
	qt.Check(t, m.Value(start.Add(time.Hour)), qt.Equals, 0.0)
}
