package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRetryAfterGrowsWithTheLengthOfAShortage(t *testing.T) {
	var s shortages
	now := time.Unix(1000, 0)
	qt.Check(t, s.recordRefusal("m", now), qt.Equals, minRetryAfter)
	for range 4 {
		now = now.Add(maxRefusalGap)
		s.recordRefusal("m", now)
	}
	qt.Check(t, s.recordRefusal("m", now), qt.Equals, 4*maxRefusalGap)
	qt.Check(t, s.recordRefusal("n", now), qt.Equals, minRetryAfter, qt.Commentf("another shortage is tracked separately"))
	for range 10 {
		now = now.Add(maxRefusalGap)
		s.recordRefusal("m", now)
	}
	qt.Check(t, s.recordRefusal("m", now), qt.Equals, maxRetryAfter)
	now = now.Add(maxRefusalGap + time.Millisecond)
	qt.Check(t, s.recordRefusal("m", now), qt.Equals, minRetryAfter, qt.Commentf("the shortage had ended"))
}
