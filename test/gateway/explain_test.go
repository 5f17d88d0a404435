package gateway

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// explain runs moorrun trace over the logs of all nodes.
func (f *fleet) explain(id string) string {
	f.t.Helper()
	tool := filepath.Join(f.t.TempDir(), "moorrun")
	out, err := exec.Command("go", "build", "-o", tool, "moorrun.dev/moorrun/cmd/moorrun").CombinedOutput()
	qt.Assert(f.t, err, qt.IsNil, qt.Commentf("%s", out))
	args := []string{"trace", id}
	for _, n := range f.nodes {
		args = append(args, "--log", n.log)
	}
	var story string
	f.await("the log has the request's end", func() bool {
		text, err := exec.Command(tool, args...).CombinedOutput()
		story = string(text)
		return err == nil && (strings.Contains(story, "refused") || strings.Contains(story, "answered"))
	})
	return story
}

// The failures of docs/OPERATIONS.md, each explained from the request's id alone.

func TestExplainRefusedThoughPlacesWereFree(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.estate.Workers() {
		w.Refuse(true)
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	story := f.explain(r.id)
	qt.Check(t, strings.Contains(story, "verdict=not-run"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "status=503") && strings.Contains(story, "reason=not-run"), qt.IsTrue, qt.Commentf(story))
}

func TestExplainCutMidwayWhenAMemberDied(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.estate.Workers() {
		if w.Service == "engines" {
			w.StallStreams(true) // no other group can take the stream up
		}
	}
	r := f.stream(f.nodes[0], "key-1")
	qt.Check(t, r.whole(), qt.IsFalse)
	story := f.explain(r.id)
	qt.Check(t, strings.Contains(story, "the replica group stands still"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "reason=timed-out"), qt.IsTrue, qt.Commentf(story))
}

func TestExplainTimedOutAfterALostAnswer(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.estate.Workers() {
		w.DropNextResponses(1)
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout)
	story := f.explain(r.id)
	qt.Check(t, strings.Contains(story, "send=1"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "verdict=may-have-run"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "reason=timed-out"), qt.IsTrue, qt.Commentf(story))
}

func TestExplainLateAnswer(t *testing.T) {
	f := newFleet(t)
	results := f.interrupted(func() {
		for _, head := range f.estate.OpenHeads()[:2] { // at least one of them has some of the streams
			head.StallStreams(true)
		}
	})
	var late *result
	for _, r := range results {
		if r.whole() && len(f.estate.Runs(r.id)) > 1 {
			late = r
		}
	}
	qt.Assert(t, late, qt.IsNotNil, qt.Commentf("no stream was taken up by another group"))
	story := f.explain(late.id)
	qt.Check(t, strings.Contains(story, "the replica group stands still"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "send=2"), qt.IsTrue, qt.Commentf(story))
	qt.Check(t, strings.Contains(story, "answered") && strings.Contains(story, "first_ms="), qt.IsTrue, qt.Commentf(story))
}
