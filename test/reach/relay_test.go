package reach

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// acceptedConns keeps the connections that a listener accepts.
type acceptedConns struct {
	net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	failNext error // returned in place of the next connection, which is closed
}

// Accept implements net.Listener.
func (a *acceptedConns) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.failNext; err != nil {
		a.failNext = nil
		_ = c.Close()
		return nil, err
	}
	a.conns = append(a.conns, c)
	return c, nil
}

// fail makes the listener return an error in place of the next connection.
func (a *acceptedConns) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failNext = err
}

// failed reports whether the error given to fail has been returned.
func (a *acceptedConns) failed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failNext == nil
}

// closeAll closes the connections accepted so far, as the kernel does when their process is killed.
func (a *acceptedConns) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
	a.conns = nil
}

// sendThroughADyingNode sends a request at a node without a path to endpoints. Once the endpoint has sent a part of its answer, all
// other nodes die for a moment, so also the one that relays the answer.
func (f *fleet) sendThroughADyingNode(n *node, path string) (id, body string, err error) {
	f.t.Helper()
	want := "attempt-" + strconv.FormatInt(f.attempts.Load()+1, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		id, body, err = f.send(n, path)
	}()
	f.await("the request runs", func() bool { return len(f.platform.Runs(want)) == 1 })
	time.Sleep(4 * estate.EventInterval)
	for _, other := range f.nodes {
		if other != n {
			other.accepted.closeAll()
		}
	}
	<-done
	qt.Assert(f.t, id, qt.Equals, want)
	return id, body, err
}

// Guards against a part of an answer without a length that is passed on as the whole of it, because the node that relays it dies. A
// resumable stream goes on, a request that may be repeated is repeated, and any other fails.
func TestAnswerWithoutALengthIsNotCutShortWhenTheNodeThatRelaysItDies(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		w.AnswerUnframed()
		w.PauseWithinUnframed(10 * estate.EventInterval)
	}
	n := f.nodes[0]
	f.paths.Set(n.vm, paths.Refused, nil)
	f.await("requests go through other nodes", func() bool { return f.stream(n) == nil && f.call(n) == nil })

	t.Run("stream", func(t *testing.T) {
		id, body, err := f.sendThroughADyingNode(n, "/lm/x")
		qt.Assert(t, err, qt.IsNil)
		var want strings.Builder
		for i := range estate.EventsPerStream {
			fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i+1, id)
		}
		qt.Check(t, body, qt.Equals, want.String())
		runs := f.platform.Runs(id)
		qt.Assert(t, runs, qt.HasLen, 2)
		after, err := strconv.Atoi(runs[1].After)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, after > 0 && after < estate.EventsPerStream, qt.IsTrue, qt.Commentf("went on after event %d", after))
	})
	t.Run("repeatable", func(t *testing.T) {
		id, body, err := f.sendThroughADyingNode(n, "/again/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "whole answer to "+id)
		qt.Check(t, f.platform.Runs(id), qt.HasLen, 2)
	})
	t.Run("not repeatable", func(t *testing.T) {
		id, _, err := f.sendThroughADyingNode(n, "/once/x")
		qt.Check(t, err, qt.ErrorMatches, `(?s)status 502: .*`)
		qt.Check(t, f.platform.Runs(id), qt.HasLen, 1)
	})
}
