package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/lease"
	"moorrun.dev/moorrun/internal/settings"
)

func (f *fleet) lease(dataCentre string) lease.Record {
	var r lease.Record
	if o, ok := f.Objects.Object("moorrun/leases/" + dataCentre); ok {
		f.Assert(json.Unmarshal(o.Value, &r), qt.IsNil)
	}
	return r
}

// loseVM kills an engine VM and waits until its group is whole again without it.
func (f *fleet) loseVM(vm string) {
	id, _, _ := f.groupOf(vm)
	f.Assert(id, qt.Not(qt.Equals), "")
	f.Engines[vm].Kill()
	f.until(vm+" replaced", func() bool {
		now, _, _ := f.groupOf(vm)
		return now == ""
	})
	f.Assert(f.WaitForUsableGroups(4, patience), qt.IsNil, qt.Commentf("%s", f.logs()))
}

func TestKilledLeaseHolderIsReplaced(t *testing.T) {
	f := newFleet(t)
	i := f.holder("rvk-1")
	before := f.lease("rvk-1")
	f.nodes[i].Kill()
	f.until("another holder", func() bool {
		now := f.lease("rvk-1")
		return now.Epoch > before.Epoch && now.Holder != f.nodes[i].Settings.VM
	})
	f.loseVM("rvk-1-a-3")
	reply := f.letter((i+1)%3, "served on", 4, nil)
	f.Check(reply.Complete, qt.IsTrue)
}

func TestDataCentreWithoutNodesIsCaredForByOthers(t *testing.T) {
	f := newFleet(t)
	f.nodes[2].Kill()
	f.until("groups of the data centre in use without its own nodes", func() bool {
		_, usable, _ := f.groupOf("rvk-2-a-2")
		return usable
	})
	f.loseVM("rvk-2-a-2")
	replaced, err := f.Restart(f.nodes[2])
	f.Assert(err, qt.IsNil)
	f.nodes[2] = replaced
	f.until("the returned node holds its data centre's lease", func() bool { return f.lease("rvk-2").Holder == "entry-3" })
	f.Assert(f.Engines["rvk-2-a-2"].Restart(), qt.IsNil) // a spare again
	f.loseVM("rvk-2-a-6")
}

func TestPausedLeaseHolderChangesNothingOnItsReturn(t *testing.T) {
	f := newFleet(t)
	i := f.holder("rvk-1")
	before := f.lease("rvk-1")
	f.nodes[i].Pause(true)
	f.until("another holder", func() bool { return f.lease("rvk-1").Epoch > before.Epoch })
	f.loseVM("rvk-1-a-3")
	assignment, _ := f.Objects.Object("moorrun/state/domains/rvk-1-a")
	f.nodes[i].Pause(false)
	f.until("the paused node hears the others again", func() bool {
		out := f.CLIAt(lab.OperatorToken, []string{f.nodes[i].Settings.AdminAddress}, "status", "-o", "json")
		return out.Code == 0 && strings.Contains(out.Stdout, `"rvk-1-a-9"`) && f.letter(i, "back", 2, nil).Complete
	})
	now, _ := f.Objects.Object("moorrun/state/domains/rvk-1-a")
	f.Check(string(now.Value), qt.Contains, `"rvk-1-a-9"`)
	f.Check(now.Version >= assignment.Version, qt.IsTrue)
	f.Check(f.lease("rvk-1").Holder, qt.Not(qt.Equals), before.Holder)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	var started sync.WaitGroup
	var callers sync.WaitGroup
	var whole atomic.Int64
	const streams = 10
	started.Add(streams)
	for i := range streams {
		callers.Go(func() {
			prompt := fmt.Sprint("s", i)
			reply := f.letter(0, prompt, 500, func(n int) error {
				if n == 1 {
					started.Done()
				}
				return nil
			})
			if reply.Complete && reply.Text == lab.ExpectedText(prompt, 500) {
				whole.Add(1)
			}
		})
	}
	started.Wait()
	f.nodes[0].Terminate()
	f.until("the node out of the address answers", func() bool {
		answer, err := lab.NewCaller("").AddressList(f.address(1))
		return err == nil && len(answer.Addresses) == 2
	})
	late := f.letter(0, "an address kept", 2, nil)
	f.Check(late.Complete, qt.IsTrue, qt.Commentf("%d %v", late.Status, late.Err))
	callers.Wait()
	f.Check(whole.Load(), qt.Equals, int64(streams))
	code, err := f.nodes[0].Wait(patience)
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0)
}

func TestColdNodeTakesConfigurationFromPeersOnly(t *testing.T) {
	f := newFleet(t)
	f.Objects.Down.Store(true)
	cold, err := f.StartNode("entry-4", "rvk-2")
	f.Assert(err, qt.IsNil)
	f.nodes = append(f.nodes, cold)
	f.until("the cold node serves", func() bool { return f.letter(3, "cold", 3, nil).Complete })
	alone, err := f.StartNode("entry-5", "rvk-1", func(s *settings.Settings) { s.Peers = nil })
	f.Assert(err, qt.IsNil)
	f.nodes = append(f.nodes, alone)
	reply := lab.Reply{}
	f.until("an answer", func() bool { reply = f.letter(4, "alone", 3, nil); return reply.Status != 0 })
	f.Check(reply.Status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(reply.Verdict, qt.Equals, "not-run")
	f.Objects.Down.Store(false)
	f.until("the other serves once the store is back", func() bool { return f.letter(4, "alone", 3, nil).Complete })
}

func TestStreamSurvivesItsEntryVM(t *testing.T) {
	f := newFleet(t)
	const tokens = 200
	donors := lab.NewCaller("donors-caller-token")
	r := donors.Complete(f.address(0), lab.Completion{Model: "letters-70b", Prompt: "r", Tokens: tokens, OnEvent: func(n int) error {
		if n == 20 {
			f.nodes[0].Kill()
		}
		return nil
	}})
	token := r.Resume
	f.Check(r.Complete, qt.IsFalse)
	stolen := lab.NewCaller("pledges-caller-token").Resume(f.address(1), token, r.Events)
	f.Check(stolen.Status, qt.Equals, http.StatusForbidden)
	rest := donors.Resume(f.address(1), token, r.Events)
	f.Check(rest.Complete, qt.IsTrue, qt.Commentf("status %d %v", rest.Status, rest.Err))
	f.Check(r.Text+rest.Text, qt.Equals, lab.ExpectedText("r", tokens))
}
