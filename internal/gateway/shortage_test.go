package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCallersAreToldToComeBackLaterTheLongerAShortageLasts(t *testing.T) {
	var s shortages
	now := time.Unix(1000, 0)
	qt.Check(t, s.refused("m", now), qt.Equals, leastComeBack)
	for range 4 {
		now = now.Add(shortageGap)
		s.refused("m", now)
	}
	qt.Check(t, s.refused("m", now), qt.Equals, 4*shortageGap)
	qt.Check(t, s.refused("n", now), qt.Equals, leastComeBack, qt.Commentf("of something else there is enough"))
	for range 10 {
		now = now.Add(shortageGap)
		s.refused("m", now)
	}
	qt.Check(t, s.refused("m", now), qt.Equals, mostComeBack)
	now = now.Add(shortageGap + time.Millisecond)
	qt.Check(t, s.refused("m", now), qt.Equals, leastComeBack, qt.Commentf("it had ended"))
}
