package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/lease"
	"moorrun.dev/moorrun/internal/settings"
)

func (f *fleet) leaseRecord(dataCentre string) lease.Record {
	var r lease.Record
	if o, ok := f.Objects.Object("moorrun/leases/" + dataCentre); ok {
		f.Assert(json.Unmarshal(o.Value, &r), qt.IsNil)
	}
	return r
}

// killVM kills an engine VM and waits until the VM is in no group and four groups are usable.
func (f *fleet) killVM(vm string) {
	id, _, _ := f.groupOf(vm)
	f.Assert(id, qt.Not(qt.Equals), "")
	f.Engines[vm].Kill()
	f.waitUntil(vm+" is in no group", func() bool {
		current, _, _ := f.groupOf(vm)
		return current == ""
	})
	f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil, qt.Commentf("%s", f.logTails()))
}

func TestKilledLeaseHolderIsReplaced(t *testing.T) {
	f := newFleet(t)
	i := f.leaseHolder("rvk-1")
	before := f.leaseRecord("rvk-1")
	f.nodes[i].Kill()
	f.waitUntil("another node holds the lease", func() bool {
		current := f.leaseRecord("rvk-1")
		return current.Epoch > before.Epoch && current.Holder != f.nodes[i].Settings.VM
	})
	f.killVM("rvk-1-a-3")
	reply := f.complete((i+1)%3, "served on", 4, nil)
	f.Check(reply.Complete, qt.IsTrue)
}

func TestDataCentreWithoutNodesIsCaredForByOthers(t *testing.T) {
	f := newFleet(t)
	f.nodes[2].Kill()
	f.waitUntil("a group of the data centre is usable without the data centre's own nodes", func() bool {
		_, usable, _ := f.groupOf("rvk-2-a-2")
		return usable
	})
	f.killVM("rvk-2-a-2")
	replaced, err := f.Restart(f.nodes[2])
	f.Assert(err, qt.IsNil)
	f.nodes[2] = replaced
	f.waitUntil("the restarted node holds its data centre's lease", func() bool { return f.leaseRecord("rvk-2").Holder == "entry-3" })
	f.Assert(f.Engines["rvk-2-a-2"].Restart(), qt.IsNil) // available as a spare again
	f.killVM("rvk-2-a-6")
}

func TestPausedLeaseHolderChangesNothingOnItsReturn(t *testing.T) {
	f := newFleet(t)
	i := f.leaseHolder("rvk-1")
	before := f.leaseRecord("rvk-1")
	f.nodes[i].Pause(true)
	f.waitUntil("another node holds the lease", func() bool { return f.leaseRecord("rvk-1").Epoch > before.Epoch })
	f.killVM("rvk-1-a-3")
	assignment, _ := f.Objects.Object("moorrun/state/domains/rvk-1-a")
	f.nodes[i].Pause(false)
	f.waitUntil("the resumed node serves requests and has the current assignment", func() bool {
		out := f.CLIAt(lab.OperatorToken, []string{f.nodes[i].Settings.AdminAddress}, "status", "-o", "json")
		return out.Code == 0 && strings.Contains(out.Stdout, `"rvk-1-a-9"`) && f.complete(i, "back", 2, nil).Complete
	})
	current, _ := f.Objects.Object("moorrun/state/domains/rvk-1-a")
	f.Check(string(current.Value), qt.Contains, `"rvk-1-a-9"`)
	f.Check(current.Version >= assignment.Version, qt.IsTrue)
	f.Check(f.leaseRecord("rvk-1").Holder, qt.Not(qt.Equals), before.Holder)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	var started sync.WaitGroup
	var callers sync.WaitGroup
	var completed atomic.Int64
	const streams = 10
	started.Add(streams)
	for i := range streams {
		callers.Go(func() {
			prompt := fmt.Sprint("s", i)
			reply := f.complete(0, prompt, 500, func(n int) error {
				if n == 1 {
					started.Done()
				}
				return nil
			})
			if reply.Complete && reply.Text == lab.ExpectedText(prompt, 500) {
				completed.Add(1)
			}
		})
	}
	started.Wait()
	f.nodes[0].Terminate()
	f.waitUntil("/v1/which lists the terminating node no longer", func() bool {
		answer, err := lab.NewCaller("").AddressList(f.callerAddress(1))
		return err == nil && len(answer.Addresses) == 2
	})
	afterStop := f.complete(0, "an address kept", 2, nil)
	f.Check(afterStop.Complete, qt.IsTrue, qt.Commentf("%d %v", afterStop.Status, afterStop.Err))
	callers.Wait()
	f.Check(completed.Load(), qt.Equals, int64(streams))
	code, err := f.nodes[0].Wait(waitTimeout)
	f.Assert(err, qt.IsNil)
	f.Check(code, qt.Equals, 0)
}

// Guards against a stopping node that drops, without an answer, the first request of a connection that it accepted in time.
func TestConnectionAcceptedBeforeAStopClosesTheListenerIsAnswered(t *testing.T) {
	f := newFleet(t)
	c, err := net.Dial("tcp", f.callerAddress(0))
	f.Assert(err, qt.IsNil)
	defer c.Close() //nolint:errcheck // only the answer matters
	running := make(chan lab.Reply, 1)
	f.nodes[0].Terminate()
	started := make(chan struct{})
	go func() {
		running <- f.complete(0, "runs on", 800, func(n int) error {
			if n == 1 {
				close(started)
			}
			return nil
		})
	}()
	<-started
	f.waitUntil("the node closes its listener", func() bool {
		probe, err := net.Dial("tcp", f.callerAddress(0))
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(c, "GET /v1/which HTTP/1.1\r\nHost: h.example\r\n\r\n")
	f.Assert(err, qt.IsNil)
	f.Assert(c.SetReadDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	f.Assert(err, qt.IsNil, qt.Commentf("the request was sent, but not answered"))
	f.Check(answer.Body.Close(), qt.IsNil)
	f.Check((<-running).Complete, qt.IsTrue)
}

func TestColdNodeTakesConfigurationFromPeersOnly(t *testing.T) {
	f := newFleet(t)
	f.Objects.Down.Store(true)
	cold, err := f.StartNode("entry-4", "rvk-2")
	f.Assert(err, qt.IsNil)
	f.nodes = append(f.nodes, cold)
	f.waitUntil("the node started without the store serves requests", func() bool { return f.complete(3, "cold", 3, nil).Complete })
	isolated, err := f.StartNode("entry-5", "rvk-1", func(s *settings.Settings) { s.Peers = nil })
	f.Assert(err, qt.IsNil)
	f.nodes = append(f.nodes, isolated)
	reply := lab.Reply{}
	f.waitUntil("an answer from the node without peers", func() bool { reply = f.complete(4, "alone", 3, nil); return reply.Status != 0 })
	f.Check(reply.Status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(reply.Verdict, qt.Equals, "not-run")
	f.Objects.Down.Store(false)
	f.waitUntil("the node without peers serves requests after the store outage", func() bool { return f.complete(4, "alone", 3, nil).Complete })
}

func TestStreamSurvivesItsEntryVM(t *testing.T) {
	f := newFleet(t)
	const tokens = 200
	donors := lab.NewCaller("donors-caller-token")
	cut := donors.Complete(f.callerAddress(0), lab.Completion{Model: "letters-70b", Prompt: "r", Tokens: tokens, OnEvent: func(n int) error {
		if n == 20 {
			f.nodes[0].Kill()
		}
		return nil
	}})
	token := cut.Resume
	f.Check(cut.Complete, qt.IsFalse)
	stolen := lab.NewCaller("pledges-caller-token").Resume(f.callerAddress(1), token, cut.Events)
	f.Check(stolen.Status, qt.Equals, http.StatusForbidden)
	remainder := donors.Resume(f.callerAddress(1), token, cut.Events)
	f.Check(remainder.Complete, qt.IsTrue, qt.Commentf("status %d %v", remainder.Status, remainder.Err))
	f.Check(cut.Text+remainder.Text, qt.Equals, lab.ExpectedText("r", tokens))
}
