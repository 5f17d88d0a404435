package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
)

var errRefused = errors.New("connection refused")

// endpoints emulates endpoints that accept or refuse connections.
type endpoints struct {
	mu      sync.Mutex
	refused map[string]bool
	dials   int
}

func (e *endpoints) dial(_ context.Context, address string) (net.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	if e.refused[address] {
		return nil, errRefused
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

func (e *endpoints) refuse(addresses ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = make(map[string]bool)
	for _, a := range addresses {
		e.refused[a] = true
	}
}

// newMonitor returns a Monitor of the endpoints a to d.
func newMonitor(e *endpoints) *Monitor {
	return &Monitor{Dial: e.dial, OnChange: func(bool) {}, Sample: func(except string, n int) []string {
		var out []string
		for _, a := range []string{"a", "b", "c", "d"} {
			if a != except && len(out) < n {
				out = append(out, a)
			}
		}
		return out
	}}
}

// Guards against taking one endpoint that has ended for the loss of the path to all of them.
func TestNodeThatReachesAnotherEndpointIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoints{}
		m := newMonitor(e)
		e.refuse("a", "b")
		m.Failed("a")
		synctest.Wait()
		qt.Check(t, m.Isolated(), qt.IsFalse)
		qt.Check(t, m.ReachesOthers(t.Context(), "a"), qt.IsTrue)
	})
}

func TestNodeIsIsolatedUntilItReachesAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoints{}
		m := newMonitor(e)
		e.refuse("a", "b", "c", "d")
		m.Failed("a")
		synctest.Wait()
		qt.Check(t, m.Isolated(), qt.IsTrue)
		qt.Check(t, m.ReachesOthers(t.Context(), "a"), qt.IsFalse)
		e.refuse("b", "c", "d")
		time.Sleep(2 * recheckInterval)
		qt.Check(t, m.Isolated(), qt.IsFalse, qt.Commentf("the endpoint that failed first is reached again"))
	})
}

// Guards against a dial of other endpoints for each failure, when one endpoint has ended and many requests are sent to it.
func TestFailuresBesideWorkingConnectionsCauseNoDials(t *testing.T) {
	e := &endpoints{}
	m := newMonitor(e)
	m.Connected(clock.Now())
	for range 20 {
		m.Failed("a")
	}
	qt.Check(t, e.dials, qt.Equals, 0)
}
