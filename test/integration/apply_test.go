package integration

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// editedCopy writes a copy of a configuration file with the first from replaced by to, and returns its path.
func (f *fleet) editedCopy(file, from, to string) string {
	content, err := os.ReadFile(filepath.Join(f.ConfigDir, file))
	f.Assert(err, qt.IsNil)
	f.Assert(string(content), qt.Contains, from)
	dir, err := os.MkdirTemp(f.Dir, "edit-")
	f.Assert(err, qt.IsNil)
	path := filepath.Join(dir, file)
	f.Assert(os.WriteFile(path, []byte(strings.Replace(string(content), from, to, 1)), 0o600), qt.IsNil)
	return path
}

var acceptedPattern = regexp.MustCompile(`accepted as revision (\d+)`)

func TestApplyReportsItsRevisionThoughTheStoreAnswerIsLost(t *testing.T) {
	f := newFleet(t)
	f.Objects.DropKeyPrefix.Store("moorrun/state/head")
	f.Objects.DropNextResponses.Store(1)
	out := f.CLI("apply", f.editedCopy("workspace-pledges.json", `"min": 1`, `"min": 0`))
	f.Assert(out.Code, qt.Equals, 0, qt.Commentf("%s%s", out.Stdout, out.Stderr))
	f.Check(out.Stdout, qt.Contains, "accepted as revision 2")
}

func TestOutcomeOfApplyIsReportedAfterLaterApplies(t *testing.T) {
	f := newFleet(t)
	const operation = "11111111-2222-3333-4444-555555555555"
	ownFile := f.editedCopy("workspace-pledges.json", `"min": 1`, `"min": 0`)
	f.Objects.DropKeyPrefix.Store("moorrun/state/head")
	f.Objects.DropNextResponses.Store(1)
	f.Check(f.CLI("apply", ownFile, "--operation", operation).Code, qt.Equals, 0)
	otherFile := f.editedCopy("workspace-gifts.json", `"latency_ms": 1000`, `"latency_ms": 900`)
	f.Check(f.CLI("apply", otherFile).Code, qt.Equals, 0)
	outcome := f.CLI("operation", operation)
	f.Check(outcome.Stdout, qt.Contains, "accepted as revision 2")
	retried := f.CLI("apply", ownFile, "--operation", operation, "--if-revision", "1")
	f.Check(retried.Stdout, qt.Contains, "accepted as revision 2")
	f.Objects.Down.Store(true)
	down := f.CLI("apply", otherFile)
	f.Check(down.Code == 1 || down.Code == 4, qt.IsTrue, qt.Commentf("%d %s", down.Code, down.Stderr))
	f.Objects.Down.Store(false)
}

func TestRacingOperators(t *testing.T) {
	f := newFleet(t)
	files := []string{
		f.editedCopy("workspace-donors.json", `"places_per_replica": 8`, `"places_per_replica": 7`),
		f.editedCopy("workspace-donors.json", `"places_per_replica": 8`, `"places_per_replica": 9`),
	}
	outputs := make([]lab.Output, len(files))
	var applies sync.WaitGroup
	for i, file := range files {
		applies.Go(func() { outputs[i] = f.CLI("apply", file, "--if-revision", "1") })
	}
	applies.Wait()
	winner, loser := outputs[0], outputs[1]
	if winner.Code != 0 {
		winner, loser = loser, winner
	}
	f.Check(winner.Code, qt.Equals, 0, qt.Commentf("%s", winner.Stderr))
	f.Check(loser.Code, qt.Equals, 3, qt.Commentf("%s", loser.Stderr))
	f.Check(loser.Stderr, qt.Contains, "revision 2")
	f.Check(loser.Stdout, qt.Contains, "places_per_replica")
}

func TestWorkspaceOperatorsChangeOnlyTheirOwnWorkspace(t *testing.T) {
	f := newFleet(t)
	own := f.editedCopy("workspace-donors.json", `"max": 3`, `"max": 2`)
	f.Check(f.CLIAs("donors-operator-token", "apply", own, "--if-revision", "1").Code, qt.Equals, 0)
	other := f.editedCopy("workspace-pledges.json", `"min": 1`, `"min": 0`)
	f.Check(f.CLIAs("donors-operator-token", "apply", other).Code, qt.Equals, 2)
	share := f.editedCopy("pool.json", `"share": 3`, `"share": 30`)
	f.Check(f.CLIAs("donors-operator-token", "apply", share).Code, qt.Equals, 2)
	f.Check(f.CLIAs("pledges-operator-token", "apply", other, "--if-revision", "1").Code, qt.Equals, 0,
		qt.Commentf("an apply conflicted with one of another workspace"))
	got := f.CLIAs("donors-operator-token", "get")
	f.Check(got.Stdout, qt.Contains, "workspace/donors")
	f.Check(strings.Contains(got.Stdout, "workspace/pledges"), qt.IsFalse)
}

func TestBadFilesChangeNothing(t *testing.T) {
	f := newFleet(t)
	out := f.CLI("apply", f.editedCopy("workspace-donors.json", `"vms_per_replica": 4`, `"vms_per_replica": 3`))
	f.Check(out.Code, qt.Equals, 2)
	f.Check(out.Stderr, qt.Contains, "/models/0/vms_per_replica")
	unknown := f.CLI("apply", f.editedCopy("pool.json", `"workspace": "gifts"`, `"workspace": "nobody"`))
	f.Check(unknown.Code, qt.Equals, 2)
	f.Check(unknown.Stderr, qt.Contains, "/shares/2/workspace")
	f.Check(f.CLI("apply", f.ConfigDir).Stdout, qt.Contains, "unchanged at revision 1")
}

func TestRequestsAreServedDuringRolloutAndDrain(t *testing.T) {
	f := newFleet(t)
	out := f.CLI("apply", f.editedCopy("workspace-donors.json", `"version": "1"`, `"version": "2"`), "--wait")
	f.Assert(acceptedPattern.MatchString(out.Stdout), qt.IsTrue, qt.Commentf("%s", out.Stderr))
	f.waitUntil("three usable groups of letters-70b at version 2", func() bool {
		f.Check(f.complete(0, "while rolling", 3, nil).Complete, qt.IsTrue)
		s, err := f.Status()
		if err != nil {
			return false
		}
		updated := 0
		for _, g := range s.Groups {
			if g.Model == "letters-70b" && g.Version == "2" && g.Usable {
				updated++
			}
		}
		return updated >= 3
	})
	f.Check(f.CLI("drain", "rvk-2-a-1").Code, qt.Equals, 0)
	f.waitUntil("the drained VM is in no group", func() bool {
		f.Check(f.complete(2, "while draining", 3, nil).Complete, qt.IsTrue)
		id, _, _ := f.groupOf("rvk-2-a-1")
		return id == ""
	})
	f.Check(f.CLI("drain", "no-such-vm").Code, qt.Equals, 2)
}
