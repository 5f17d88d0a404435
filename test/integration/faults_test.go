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

func withLinks(o *lab.Options) { o.FaultProxies = true }

func (f *fleet) waitUntilServing(node int, condition string) {
	f.waitUntil(condition, func() bool { return f.complete(node, "x", 2, nil).Complete })
}

func TestHolderWithSilentStoreLinkLosesTheLease(t *testing.T) {
	f := newFleet(t, withLinks)
	i := f.leaseHolder("rvk-1")
	before := f.leaseRecord("rvk-1")
	f.nodes[i].StoreProxy.SetFault(standin.Stall)
	f.waitUntil("another node holds the lease", func() bool {
		current := f.leaseRecord("rvk-1")
		return current.Epoch > before.Epoch && current.Holder != f.nodes[i].Settings.VM
	})
	f.Check(f.complete(i, "peers still tell it the state", 3, nil).Complete, qt.IsTrue)
	f.killVM("rvk-1-a-3")
	f.nodes[i].StoreProxy.SetFault(standin.NoFault)
	f.waitUntilServing(i, "the node serves requests")
}

func TestPeerLinkFaultsOfARelay(t *testing.T) {
	for _, fault := range []standin.Fault{standin.StallReplies, standin.Stall, standin.Disconnect, standin.Delay} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			f := newFleet(t, withLinks)
			i := f.leaseHolder("rvk-1")
			f.nodes[i].PeerProxy.SetFault(fault)
			other := 1 - i
			f.waitUntilServing(other, "the other node of the data centre serves requests")
			f.waitUntilServing(2, "the other data centre serves requests")
			out := f.CLIAt(lab.OperatorToken, []string{f.nodes[other].Settings.AdminAddress}, "apply", f.editedCopy("workspace-pledges.json", `"min": 1`, `"min": 0`))
			f.Assert(out.Code, qt.Equals, 0, qt.Commentf("%s", out.Stderr))
			for n := range f.nodes {
				f.waitUntil(fmt.Sprint("revision 2 is in force at node ", n), func() bool {
					out := f.CLIAt(lab.OperatorToken, []string{f.nodes[n].Settings.AdminAddress}, "status")
					return strings.HasPrefix(out.Stdout, "revision 2")
				})
			}
			f.nodes[i].PeerProxy.SetFault(standin.NoFault)
			f.waitUntilServing(i, "the relay serves requests again")
		})
	}
}

func TestIsolatedNodeRefusesRequestsAsNotRun(t *testing.T) {
	f := newFleet(t, withLinks)
	f.Assert(f.nodes[2].Settings.DataCentre, qt.Equals, "rvk-2")
	for _, n := range f.nodes {
		n.PeerProxy.SetFault(standin.Stall)
	}
	f.nodes[2].StoreProxy.SetFault(standin.Stall)
	f.waitUntil("refusal with verdict not-run and Retry-After", func() bool {
		reply := f.complete(2, "cut off", 2, nil)
		return reply.Status == 503 && reply.Verdict == "not-run" && reply.RetryAfter != ""
	})
	for _, n := range f.nodes {
		n.PeerProxy.SetFault(standin.NoFault)
		n.StoreProxy.SetFault(standin.NoFault)
	}
	f.waitUntilServing(2, "the node serves requests again")
}

func TestStoreOutageLongerThanAllLeases(t *testing.T) {
	f := newFleet(t)
	f.Objects.Down.Store(true)
	f.waitUntil("all leases have expired", func() bool {
		for _, n := range f.nodes {
			content, _ := os.ReadFile(n.LogFile)
			if strings.Count(string(content), `"held":true`) > strings.Count(string(content), `"held":false`) {
				return false
			}
		}
		return true
	})
	killedVM := "rvk-2-a-2"
	f.Engines[killedVM].Kill()
	f.waitUntil("the group of the killed VM is not usable", func() bool { _, usable, _ := f.groupOf(killedVM); return !usable })
	for i := range f.nodes {
		f.Check(f.complete(i, "served without the store", 3, nil).Complete, qt.IsTrue)
	}
	f.Objects.Down.Store(false)
	f.waitUntil("the killed VM is in no group", func() bool { id, _, _ := f.groupOf(killedVM); return id == "" })
	f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil)
}

func TestSlowStoreAndRacingOperators(t *testing.T) {
	f := newFleet(t)
	f.Objects.DelayMillis.Store(300)
	f.Objects.DropNextResponses.Store(3)
	outputs := make(chan lab.Output, 4)
	for i := range 4 {
		file := f.editedCopy("workspace-gifts.json", `"latency_ms": 1000`, fmt.Sprintf(`"latency_ms": %d`, 100+i))
		go func() { outputs <- f.CLI("apply", file, "--if-revision", "1") }()
	}
	accepted := 0
	for range 4 {
		out := <-outputs
		if out.Code == 0 {
			accepted++
		} else {
			f.Check(out.Code, qt.Equals, 3, qt.Commentf("%s", out.Stderr))
		}
	}
	f.Check(accepted, qt.Equals, 1)
	f.Objects.DelayMillis.Store(0)
}

func TestSilentEngineLinkCutsTheStream(t *testing.T) {
	f := newFleet(t, withLinks)
	reply := f.complete(0, "silent", 400, func(n int) error {
		if n == 5 {
			f.EngineProxies[f.busyVM()].SetFault(standin.Stall)
		}
		return nil
	})
	f.Check(reply.Complete, qt.IsFalse)
	f.Check(reply.Verdict, qt.Equals, "may-have-run")
	f.waitUntilServing(0, "other groups serve requests")
}
