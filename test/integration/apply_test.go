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

// edit writes a changed copy of one file and returns its path.
func (f *fleet) edit(file, from, to string) string {
	content, err := os.ReadFile(filepath.Join(f.ConfigDir, file))
	f.Assert(err, qt.IsNil)
	f.Assert(string(content), qt.Contains, from)
	dir, err := os.MkdirTemp(f.Dir, "edit-")
	f.Assert(err, qt.IsNil)
	path := filepath.Join(dir, file)
	f.Assert(os.WriteFile(path, []byte(strings.Replace(string(content), from, to, 1)), 0o600), qt.IsNil)
	return path
}

var revisionText = regexp.MustCompile(`accepted as revision (\d+)`)

func TestLostAnswerToApplyIsFound(t *testing.T) {
	f := newFleet(t)
	f.Objects.DropKeyPrefix.Store("moorrun/state/head")
	f.Objects.DropNextResponses.Store(1)
	out := f.CLI("apply", f.edit("workspace-pledges.json", `"min": 1`, `"min": 0`))
	f.Assert(out.Code, qt.Equals, 0, qt.Commentf("%s%s", out.Stdout, out.Stderr))
	f.Check(out.Stdout, qt.Contains, "accepted as revision 2")
}

func TestUnknownOutcomeIsSettledAfterOthersHaveGoneOn(t *testing.T) {
	f := newFleet(t)
	const operation = "11111111-2222-3333-4444-555555555555"
	mine := f.edit("workspace-pledges.json", `"min": 1`, `"min": 0`)
	f.Objects.DropKeyPrefix.Store("moorrun/state/head")
	f.Objects.DropNextResponses.Store(1)
	f.Check(f.CLI("apply", mine, "--operation", operation).Code, qt.Equals, 0)
	other := f.edit("workspace-gifts.json", `"latency_ms": 1000`, `"latency_ms": 900`)
	f.Check(f.CLI("apply", other).Code, qt.Equals, 0)
	settled := f.CLI("operation", operation)
	f.Check(settled.Stdout, qt.Contains, "accepted as revision 2")
	again := f.CLI("apply", mine, "--operation", operation, "--if-revision", "1")
	f.Check(again.Stdout, qt.Contains, "accepted as revision 2")
	f.Objects.Down.Store(true)
	down := f.CLI("apply", other)
	f.Check(down.Code == 1 || down.Code == 4, qt.IsTrue, qt.Commentf("%d %s", down.Code, down.Stderr))
	f.Objects.Down.Store(false)
}

func TestRacingOperators(t *testing.T) {
	f := newFleet(t)
	files := []string{
		f.edit("workspace-donors.json", `"places_per_replica": 8`, `"places_per_replica": 7`),
		f.edit("workspace-donors.json", `"places_per_replica": 8`, `"places_per_replica": 9`),
	}
	outs := make([]lab.Output, len(files))
	var race sync.WaitGroup
	for i, file := range files {
		race.Go(func() { outs[i] = f.CLI("apply", file, "--if-revision", "1") })
	}
	race.Wait()
	winner, loser := outs[0], outs[1]
	if winner.Code != 0 {
		winner, loser = loser, winner
	}
	f.Check(winner.Code, qt.Equals, 0, qt.Commentf("%s", winner.Stderr))
	f.Check(loser.Code, qt.Equals, 3, qt.Commentf("%s", loser.Stderr))
	f.Check(loser.Stderr, qt.Contains, "revision 2")
	f.Check(loser.Stdout, qt.Contains, "places_per_replica")
}

func TestWorkspaceOperatorsChangeOnlyTheirOwn(t *testing.T) {
	f := newFleet(t)
	own := f.edit("workspace-donors.json", `"max": 3`, `"max": 2`)
	f.Check(f.CLIAs("donors-operator-token", "apply", own, "--if-revision", "1").Code, qt.Equals, 0)
	other := f.edit("workspace-pledges.json", `"min": 1`, `"min": 0`)
	f.Check(f.CLIAs("donors-operator-token", "apply", other).Code, qt.Equals, 2)
	share := f.edit("pool.json", `"share": 3`, `"share": 30`)
	f.Check(f.CLIAs("donors-operator-token", "apply", share).Code, qt.Equals, 2)
	f.Check(f.CLIAs("pledges-operator-token", "apply", other, "--if-revision", "1").Code, qt.Equals, 0,
		qt.Commentf("applies of different workspaces do not conflict"))
	got := f.CLIAs("donors-operator-token", "get")
	f.Check(got.Stdout, qt.Contains, "workspace/donors")
	f.Check(strings.Contains(got.Stdout, "workspace/pledges"), qt.IsFalse)
}

func TestBadFilesChangeNothing(t *testing.T) {
	f := newFleet(t)
	out := f.CLI("apply", f.edit("workspace-donors.json", `"vms_per_replica": 4`, `"vms_per_replica": 3`))
	f.Check(out.Code, qt.Equals, 2)
	f.Check(out.Stderr, qt.Contains, "/models/0/vms_per_replica")
	unknown := f.CLI("apply", f.edit("pool.json", `"workspace": "gifts"`, `"workspace": "nobody"`))
	f.Check(unknown.Code, qt.Equals, 2)
	f.Check(unknown.Stderr, qt.Contains, "/shares/2/workspace")
	f.Check(f.CLI("apply", f.ConfigDir).Stdout, qt.Contains, "unchanged at revision 1")
}

func TestVersionRollsAndDrainsLeaveNobodyWaiting(t *testing.T) {
	f := newFleet(t)
	out := f.CLI("apply", f.edit("workspace-donors.json", `"version": "1"`, `"version": "2"`), "--wait")
	f.Assert(revisionText.MatchString(out.Stdout), qt.IsTrue, qt.Commentf("%s", out.Stderr))
	f.until("every letters group at version 2", func() bool {
		f.Check(f.letter(0, "while rolling", 3, nil).Complete, qt.IsTrue)
		s, err := f.Status()
		if err != nil {
			return false
		}
		there := 0
		for _, g := range s.Groups {
			if g.Model == "letters-70b" && g.Version == "2" && g.Usable {
				there++
			}
		}
		return there >= 3
	})
	f.Check(f.CLI("drain", "rvk-2-a-1").Code, qt.Equals, 0)
	f.until("the drained VM in no group", func() bool {
		f.Check(f.letter(2, "while draining", 3, nil).Complete, qt.IsTrue)
		id, _, _ := f.groupOf("rvk-2-a-1")
		return id == ""
	})
	f.Check(f.CLI("drain", "no-such-vm").Code, qt.Equals, 2)
}
