package follow

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/freshness"
)

// A credential counts while the copy of the configuration is proved current. A machine that was suspended for six seconds
// has a proof that is six seconds older, though its monotonic clock stood still.
func TestProofGrowsOldWhileTheMachineIsSuspended(t *testing.T) {
	var asleep atomic.Int64
	defer clock.Pretend(func() time.Duration { return time.Duration(asleep.Load()) })()
	p := newProof("a/", "b/")
	p.fromStore("a/", clock.Now())
	p.fromPeer(clock.Now())
	asleep.Add(int64(6 * time.Second))
	qt.Check(t, clock.Since(p.of("a/")) >= 6*time.Second, qt.IsTrue)
	at, _ := p.whole()
	qt.Check(t, clock.Since(at) >= 6*time.Second, qt.IsTrue)
}

// What another node sent just before the suspension lies in the socket's buffer until the machine wakes.
func TestWhatWasSentBeforeTheSuspensionIsNotTakenForFresh(t *testing.T) {
	var asleep atomic.Int64
	defer clock.Pretend(func() time.Duration { return time.Duration(asleep.Load()) })()
	var c freshness.Clock
	tick := c.Next(clock.Now())
	asleep.Add(int64(6 * time.Second))
	asOf, ok := c.AsOf(tick)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, clock.Since(asOf) >= 6*time.Second, qt.IsTrue)
}
