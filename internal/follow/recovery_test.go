package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against holds that are derived from a failed query which was sent long before the store's return, and against holds that last
// until removals count too late.
func TestHoldEndsWithinTheBoundsOfTheStoresReturn(t *testing.T) {
	const refusedAtOnce, noAnswer = time.Millisecond, testQueryTimeout
	for _, c := range []struct {
		name             string
		takesTurns       bool
		failedAgo, took  time.Duration // the last failed query of this node, before the first answer to any node
		earliest, latest time.Duration // end of the hold, relative to that answer
	}{
		{"queries alone", false, 400 * time.Millisecond, refusedAtOnce, lapseLimit, storeRecovery - 400*time.Millisecond},
		{"queried long ago, alone", false, 10 * time.Second, refusedAtOnce, -storeRecovery - 10*time.Second, 0},
		{"queried lately, in turns", true, 100 * time.Millisecond, refusedAtOnce, lapseLimit, storeRecovery - 100*time.Millisecond},
		{"queried long ago, in turns", true, 10 * time.Second, refusedAtOnce, lapseLimit, storeRecovery - maxQueryInterval},
		{"queries hang, in turns", true, 10 * time.Second, noAnswer, 0, storeRecovery - noAnswer},
	} {
		for _, told := range []bool{false, true} {
			r := &recovery{grace: lapseGrace, limit: storeRecovery, takesTurns: func() bool { return c.takesTurns }}
			answered := time.Unix(1000, 0)
			begin := answered.Add(-20 * time.Second)
			r.queryAnswered(begin, begin)
			r.queryFailed(answered.Add(-c.failedAgo), answered.Add(c.took-c.failedAgo), true)
			if told {
				r.toldByNode(answered, answered)
			}
			until := r.queryAnswered(answered, answered).Sub(answered)
			qt.Check(t, until >= c.earliest, qt.IsTrue, qt.Commentf("%s, told: %v: %v", c.name, told, until))
			qt.Check(t, until <= c.latest, qt.IsTrue, qt.Commentf("%s, told: %v: %v", c.name, told, until))
		}
	}
}
