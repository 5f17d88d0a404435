package tunnel_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/tunnel"
)

// Guards against a log that grows with the tunnels that a dying node breaks, and against counting an ordinary end as a break.
func TestReporterCountsAllBreaksAndLogsFew(t *testing.T) {
	const breaks = 500
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	r := tunnel.NewReporter(scope, log.NewJSONLogger(&out))
	for range breaks {
		r.DetourEnded("vm-2", "endpoint", tunnel.TunnelBroke, errors.New("broken"))
	}
	r.DetourEnded("vm-2", "endpoint", tunnel.EndpointClosed, nil)
	r.RelayEnded(tunnel.NodeClosed)
	lines := strings.Count(out.String(), "\n")
	qt.Check(t, lines > 0 && lines < breaks/10, qt.IsTrue, qt.Commentf("%d lines", lines))
	counts := make(map[string]int64)
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()+" "+c.Tags()["end"]] = c.Value()
	}
	qt.Check(t, counts["detour_ends tunnel_broke"], qt.Equals, int64(breaks))
	qt.Check(t, counts["detour_ends endpoint_closed"], qt.Equals, int64(1))
	qt.Check(t, counts["tunnel_ends node_closed"], qt.Equals, int64(1))
}
