package queueing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that come back long before, or long after, the end of a shortage.
func TestRetryAfterGrowsWithTheLengthOfAShortage(t *testing.T) {
	var s Shortages
	now := time.Unix(1000, 0)
	qt.Check(t, s.RecordRefusal("m", now), qt.Equals, minRetryAfter)
	for range 4 {
		now = now.Add(maxRefusalGap)
		s.RecordRefusal("m", now)
	}
	qt.Check(t, s.RecordRefusal("m", now), qt.Equals, 4*maxRefusalGap)
	qt.Check(t, s.RecordRefusal("n", now), qt.Equals, minRetryAfter, qt.Commentf("another shortage is tracked separately"))
	for range 10 {
		now = now.Add(maxRefusalGap)
		s.RecordRefusal("m", now)
	}
	qt.Check(t, s.RecordRefusal("m", now), qt.Equals, maxRetryAfter)
	now = now.Add(maxRefusalGap + time.Millisecond)
	qt.Check(t, s.RecordRefusal("m", now), qt.Equals, minRetryAfter, qt.Commentf("the shortage had ended"))
}
