package netconn_test

import (
	"bytes"
	"net"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/netconn"
)

// Guards against a log that grows with the connections that a process without descriptors cannot accept.
func TestFailedAcceptsAreAllCountedAndFewLogged(t *testing.T) {
	const failures = 8
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	near, far := net.Pipe()
	defer far.Close() //nolint:errcheck // the test ends
	failing := &failingListener{conn: near}
	for range failures {
		failing.errs = append(failing.errs, syscall.EMFILE)
	}
	lis := netconn.NewAcceptReporter(scope, log.NewJSONLogger(&out)).Listener("peer", failing)
	_, err := lis.Accept()
	qt.Assert(t, err, qt.IsNil)
	lines := strings.Count(out.String(), "\n")
	qt.Check(t, lines > 0 && lines < failures, qt.IsTrue, qt.Commentf("%d lines", lines))
	counters := scope.Snapshot().Counters()
	qt.Check(t, counters["accepts_failed+listener=peer"].Value(), qt.Equals, int64(failures))
}
