package gateway

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// trace returns the output of moorrun trace for a request, over the logs of all nodes.
func (f *fleet) trace(id string) string {
	f.t.Helper()
	tool := filepath.Join(f.t.TempDir(), "moorrun")
	out, err := exec.Command("go", "build", "-o", tool, "moorrun.dev/moorrun/cmd/moorrun").CombinedOutput()
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", out))
	args := []string{"trace", id}
	for _, n := range f.nodes {
		args = append(args, "--log", n.logFile)
	}
	var output string
	f.await("the logs contain the end of the request", func() bool {
		text, err := exec.Command(tool, args...).CombinedOutput()
		output = string(text)
		return err == nil && (strings.Contains(output, "refused") || strings.Contains(output, "answered"))
	})
	return output
}

// The following tests explain each failure described in docs/OPERATIONS.md from the request's id alone.

func TestExplainRefusedThoughPlacesWereFree(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		w.Refuse(true)
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	trace := f.trace(r.id)
	qt.Check(t, strings.Contains(trace, "verdict=not-run"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "status=503") && strings.Contains(trace, "reason=not-run"), qt.IsTrue, qt.Commentf(trace))
}

func TestExplainCutMidwayWhenAMemberDied(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		if w.Service == "engines" {
			w.StallStreams(true) // no other group can resume the stream
		}
	}
	r := f.stream(f.nodes[0], "key-1")
	qt.Check(t, r.isComplete(), qt.IsFalse)
	trace := f.trace(r.id)
	qt.Check(t, strings.Contains(trace, "the replica group stands still"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "reason=timed-out"), qt.IsTrue, qt.Commentf(trace))
}

func TestExplainTimedOutAfterALostAnswer(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		w.DropNextResponses(1)
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout)
	trace := f.trace(r.id)
	qt.Check(t, strings.Contains(trace, "send=1"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "verdict=may-have-run"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "reason=timed-out"), qt.IsTrue, qt.Commentf(trace))
}

func TestExplainLateAnswer(t *testing.T) {
	f := newFleet(t)
	results := f.runStreams(func() {
		for _, head := range f.platform.OpenHeads()[:2] { // at least one of them runs some of the streams
			head.StallStreams(true)
		}
	})
	var late *result
	for _, r := range results {
		if r.isComplete() && len(f.platform.Runs(r.id)) > 1 {
			late = r
		}
	}
	qt.Assert(t, late, qt.IsNotNil, qt.Commentf("no stream was resumed by another group"))
	trace := f.trace(late.id)
	qt.Check(t, strings.Contains(trace, "the replica group stands still"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "send=2"), qt.IsTrue, qt.Commentf(trace))
	qt.Check(t, strings.Contains(trace, "answered") && strings.Contains(trace, "first_ms="), qt.IsTrue, qt.Commentf(trace))
}
