package follow

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/freshness"
)

// A credential is valid only while the copy of the configuration is proved current. On a VM that was suspended for six seconds
// the proof is six seconds older, although the monotonic clock did not advance.
func TestProofAgesWhileTheVMIsSuspended(t *testing.T) {
	var suspended atomic.Int64
	defer clock.SetSuspendedForTest(func() time.Duration { return time.Duration(suspended.Load()) })()
	p := newProof("a/", "b/")
	p.fromStore("a/", clock.Now())
	p.fromPeer(clock.Now())
	suspended.Add(int64(6 * time.Second))
	qt.Check(t, clock.Since(p.current("a/")) >= 6*time.Second, qt.IsTrue)
	at, _ := p.currentAll()
	qt.Check(t, clock.Since(at) >= 6*time.Second, qt.IsTrue)
}

// A message that another node sent just before the suspension stays in the socket's buffer until the VM resumes.
func TestMessageSentBeforeTheSuspensionIsNotTakenForFresh(t *testing.T) {
	var suspended atomic.Int64
	defer clock.SetSuspendedForTest(func() time.Duration { return time.Duration(suspended.Load()) })()
	var c freshness.Clock
	tick := c.Next(clock.Now())
	suspended.Add(int64(6 * time.Second))
	asOf, ok := c.AsOf(tick)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, clock.Since(asOf) >= 6*time.Second, qt.IsTrue)
}
