package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
)

// stopGraces are the grace periods with which planned stops are tested.
var stopGraces = []time.Duration{time.Second, 2500 * time.Millisecond, 8 * time.Second}

// maxSilence is how long engines are silent at most; a stream may still end within its own time.
const maxSilence = 5500 * time.Millisecond

// stopTimeout is the timeout of the routes, which is longer than what is left of most of these grace periods.
const stopTimeout = 7 * time.Second

// newStoppingFleet returns a fleet whose nodes are killed after the given grace period.
func newStoppingFleet(t *testing.T, grace time.Duration) *fleet {
	t.Helper()
	f := newFleetWith(t, func(s *settings.Gateway) { s.GraceMS = settings.Milliseconds(grace.Milliseconds()) })
	f.platform.Configure(2, int(stopTimeout.Milliseconds()), "key-1", "key-2")
	for _, n := range f.nodes {
		f.await("the routes' timeout is in force", func() bool { return n.countLogged(`"version":2`) > 0 })
	}
	return f
}

// Guards against a node that takes a request after SIGTERM which its grace period does not leave time for, and then cuts off the
// answer.
func TestRequestsTakenAfterSIGTERMAreNotCutOff(t *testing.T) {
	for _, grace := range stopGraces {
		for _, fraction := range []float64{0.02, 0.15, 0.3, 0.42} {
			t.Run(fmt.Sprintf("grace %v, sent after %v", grace, time.Duration(fraction*float64(grace))), func(t *testing.T) {
				t.Parallel()
				f := newStoppingFleet(t, grace)
				leaving := f.nodes[1]
				leaving.signal(syscall.SIGTERM)
				time.Sleep(time.Duration(fraction * float64(grace)))
				results := f.streamsDuringSilence(leaving, min(grace, maxSilence))
				for _, r := range results {
					f.checkTruthfulEnd(r)
				}
				qt.Check(t, <-leaving.exited, qt.IsNil)
				leaving.exited <- nil
			})
		}
	}
}

// streamsDuringSilence sends six requests for streams to a node and makes all engines silent for the given time once some events have
// been sent.
func (f *fleet) streamsDuringSilence(n *node, silence time.Duration) []*result {
	results := make([]*result, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = f.stream(n, "key-1") })
	}
	time.Sleep(100 * time.Millisecond)
	for _, w := range f.engineWorkers() {
		w.Freeze(silence)
	}
	wg.Wait()
	return results
}

// checkTruthfulEnd checks that a request got its whole answer, a refusal that is true and tells when to come back, or no connection at all.
func (f *fleet) checkTruthfulEnd(r *result) {
	f.t.Helper()
	runs := len(f.platform.Runs(r.id))
	comment := qt.Commentf("%s: status %d, %d events, %d runs, %v", r.id, r.status, len(r.events), runs, r.err)
	switch {
	case r.isComplete():
	case r.err == nil && r.status == http.StatusServiceUnavailable:
		qt.Check(f.t, runs, qt.Equals, 0, comment)
		qt.Check(f.t, r.header.Get("Retry-After") != "", qt.IsTrue, comment)
	default:
		qt.Check(f.t, errors.Is(r.err, syscall.ECONNREFUSED), qt.IsTrue, comment)
	}
}

// Guards against connections that end without a word at the end of the grace period, and against a log that does not name what was
// ended.
func TestRequestsLeftAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	f := newStoppingFleet(t, time.Second)
	leaving := f.nodes[1]
	for _, w := range f.platform.Workers() {
		w.Freeze(maxSilence)
	}
	var wg sync.WaitGroup
	running := make([]*result, 3)
	for i, path := range []string{"/once/x", "/again/x", "/lm/x"} {
		wg.Go(func() { running[i] = f.call(leaving, path, "key-1") })
	}
	upload := f.beginUpload(leaving)
	time.Sleep(200 * time.Millisecond)
	leaving.signal(syscall.SIGTERM)
	status, retryAfter, err := upload()
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("an upload that has not been read"))
	qt.Check(t, retryAfter != "", qt.IsTrue)
	wg.Wait()
	for _, r := range running {
		comment := qt.Commentf("%s: status %d, %v", r.id, r.status, r.err)
		qt.Check(t, r.err, qt.IsNil, comment)
		qt.Check(t, r.status, qt.Equals, http.StatusBadGateway, comment)
		qt.Check(t, r.header.Get("Retry-After"), qt.Equals, "", comment)
	}
	qt.Check(t, <-leaving.exited, qt.IsNil)
	leaving.exited <- nil
	qt.Check(t, leaving.countLogged(`"msg":"request ended by the stop"`), qt.Equals, len(running))
	qt.Check(t, leaving.countLogged(`"by":"stop"`) >= len(running), qt.IsTrue)
	qt.Check(t, leaving.countLogged(`"by":"caller"`), qt.Equals, 0)
	qt.Check(t, leaving.countLogged(`"beyond_grace":3`), qt.Equals, 1)
}

// beginUpload sends the head of a request and half of its body, and returns a function that waits for the answer and returns its status and
// Retry-After.
func (f *fleet) beginUpload(n *node) func() (status int, retryAfter string, err error) {
	f.t.Helper()
	c, err := net.Dial("tcp", n.settings.CallerAddress)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Moorrun-Attempt-Id: upload\r\nAuthorization: Bearer key-1\r\nContent-Length: 8\r\n\r\nhalf")
	qt.Assert(f.t, err, qt.IsNil)
	return func() (int, string, error) {
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, "", err
		}
		_ = answer.Body.Close()
		return answer.StatusCode, answer.Header.Get("Retry-After"), nil
	}
}

// Guards against a stopping node that drops, without an answer, the first request of a connection that it accepted in time.
func TestConnectionAcceptedBeforeAStopClosesTheListenerIsAnswered(t *testing.T) {
	f := newStoppingFleet(t, 2500*time.Millisecond)
	leaving := f.nodes[1]
	c, err := net.Dial("tcp", leaving.settings.CallerAddress)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // it is read to its end
	leaving.signal(syscall.SIGTERM)
	f.await("the node closes its listener", func() bool {
		probe, err := net.Dial("tcp", leaving.settings.CallerAddress)
		if err == nil {
			_ = probe.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	_, err = io.WriteString(c, "POST /lm/x HTTP/1.1\r\nHost: h.example\r\nX-Moorrun-Attempt-Id: late\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the request was read, but not answered"))
	defer answer.Body.Close() //nolint:errcheck // only its head matters
	qt.Check(t, answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, answer.Header.Get("Retry-After") != "", qt.IsTrue)
	qt.Check(t, f.platform.Runs("late"), qt.HasLen, 0)
}
