package integration

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
)

func linked(o *lab.Options) { o.FaultProxies = true }

func (f *fleet) serves(node int, what string) {
	f.until(what, func() bool { return f.letter(node, "x", 2, nil).Complete })
}

func TestSilentStoreLinkCostsTheLease(t *testing.T) {
	f := newFleet(t, linked)
	i := f.holder("rvk-1")
	before := f.lease("rvk-1")
	f.nodes[i].StoreProxy.SetFault(standin.Stall)
	f.until("another holder", func() bool {
		now := f.lease("rvk-1")
		return now.Epoch > before.Epoch && now.Holder != f.nodes[i].Settings.VM
	})
	f.Check(f.letter(i, "peers still tell it the state", 3, nil).Complete, qt.IsTrue)
	f.loseVM("rvk-1-a-3")
	f.nodes[i].StoreProxy.SetFault(standin.NoFault)
	f.serves(i, "the node serves on")
}

func TestOneWayPartitionOfARelay(t *testing.T) {
	for _, fault := range []standin.Fault{standin.StallReplies, standin.Stall, standin.Disconnect, standin.Delay} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			f := newFleet(t, linked)
			i := f.holder("rvk-1")
			f.nodes[i].PeerProxy.SetFault(fault)
			other := 1 - i
			f.serves(other, "the other node of the data centre serves")
			f.serves(2, "the other data centre serves")
			out := f.CLIAt(lab.OperatorToken, []string{f.nodes[other].Settings.AdminAddress}, "apply", f.edit("workspace-pledges.json", `"min": 1`, `"min": 0`))
			f.Assert(out.Code, qt.Equals, 0, qt.Commentf("%s", out.Stderr))
			for n := range f.nodes {
				f.until(fmt.Sprint("revision 2 in force at node ", n), func() bool {
					out := f.CLIAt(lab.OperatorToken, []string{f.nodes[n].Settings.AdminAddress}, "status")
					return strings.HasPrefix(out.Stdout, "revision 2")
				})
			}
			f.nodes[i].PeerProxy.SetFault(standin.NoFault)
			f.serves(i, "the relay serves")
		})
	}
}

func TestCutOffNodeRefusesAsNotRun(t *testing.T) {
	f := newFleet(t, linked)
	f.Assert(f.nodes[2].Settings.DataCentre, qt.Equals, "rvk-2")
	for _, n := range f.nodes {
		n.PeerProxy.SetFault(standin.Stall)
	}
	f.nodes[2].StoreProxy.SetFault(standin.Stall)
	f.until("a refusal", func() bool {
		reply := f.letter(2, "cut off", 2, nil)
		return reply.Status == 503 && reply.Verdict == "not-run" && reply.RetryAfter != ""
	})
	for _, n := range f.nodes {
		n.PeerProxy.SetFault(standin.NoFault)
		n.StoreProxy.SetFault(standin.NoFault)
	}
	f.serves(2, "the node serves again")
}

func TestStoreOutageLongerThanAllLeases(t *testing.T) {
	f := newFleet(t)
	f.Objects.Down.Store(true)
	f.until("no lease is held any more", func() bool {
		for _, n := range f.nodes {
			content, _ := os.ReadFile(n.LogFile)
			if strings.Count(string(content), `"held":true`) > strings.Count(string(content), `"held":false`) {
				return false
			}
		}
		return true
	})
	lost := "rvk-2-a-2"
	f.Engines[lost].Kill()
	f.until("the broken group out of use", func() bool { _, usable, _ := f.groupOf(lost); return !usable })
	for i := range f.nodes {
		f.Check(f.letter(i, "served without the store", 3, nil).Complete, qt.IsTrue)
	}
	f.Objects.Down.Store(false)
	f.until("the group formed anew", func() bool { id, _, _ := f.groupOf(lost); return id == "" })
	f.Assert(f.WaitForUsableGroups(4, patience), qt.IsNil)
}

func TestSlowStoreAndRacingOperators(t *testing.T) {
	f := newFleet(t)
	f.Objects.DelayMillis.Store(300)
	f.Objects.DropNextResponses.Store(3)
	outs := make(chan lab.Output, 4)
	for i := range 4 {
		file := f.edit("workspace-gifts.json", `"latency_ms": 1000`, fmt.Sprintf(`"latency_ms": %d`, 100+i))
		go func() { outs <- f.CLI("apply", file, "--if-revision", "1") }()
	}
	won := 0
	for range 4 {
		out := <-outs
		if out.Code == 0 {
			won++
		} else {
			f.Check(out.Code, qt.Equals, 3, qt.Commentf("%s", out.Stderr))
		}
	}
	f.Check(won, qt.Equals, 1)
	f.Objects.DelayMillis.Store(0)
}

func TestSilentEngineLinkCutsTheStream(t *testing.T) {
	f := newFleet(t, linked)
	reply := f.letter(0, "silent", 400, func(n int) error {
		if n == 5 {
			f.EngineProxies[f.busyLeader()].SetFault(standin.Stall)
		}
		return nil
	})
	f.Check(reply.Complete, qt.IsFalse)
	f.Check(reply.Verdict, qt.Equals, "may-have-run")
	f.serves(0, "other groups serve")
}
