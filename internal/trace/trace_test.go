package trace_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/trace"
)

const logs = `{"vm":"a","ts":"2","msg":"sent","request":"r1","endpoint":"e1","group":"g1"}
not json
12.5 node-a {"vm":"a","ts":"4","msg":"refused","request":"r1","reason":"timed-out"}
{"vm":"b","ts":"3","msg":"group retires","group":"g1","reason":"member e2 does not answer"}
{"vm":"b","ts":"1","msg":"order","endpoint":"e1","kind":"open"}
{"vm":"b","ts":"1","msg":"order","endpoint":"e9","kind":"open"}
{"vm":"a","ts":"2","msg":"sent","request":"r2","endpoint":"e1","group":"g1"}
`

func TestTraceHasTheRequestAndItsEndpointsAndGroups(t *testing.T) {
	lines, err := trace.Read(strings.NewReader(logs))
	qt.Assert(t, err, qt.IsNil)
	var events []string
	for _, l := range trace.ForRequest("r1", lines) {
		events = append(events, l.Event)
	}
	qt.Check(t, events, qt.DeepEquals, []string{"order", "sent", "group retires", "refused"})
	qt.Check(t, trace.ForRequest("none", lines), qt.HasLen, 0)
	requestLines := trace.ForRequest("r1", lines)
	qt.Check(t, requestLines[3].Own, qt.IsTrue)
	qt.Check(t, requestLines[2].Own, qt.IsFalse)
	qt.Check(t, requestLines[3].Details(), qt.Equals, "reason=timed-out")
}
