package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// Guards against a part of an answer without a length that is passed on as the whole of it, because the process of the node that
// relays it is killed.
func TestAnswerIsNotCutShortWhenTheNodeThatRelaysItIsKilled(t *testing.T) {
	f := newUnconfiguredFleet(t)
	p := paths.New()
	t.Cleanup(p.Close)
	n, err := f.StartInProcess("entry-4", "rvk-1", p)
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = n.Stop() })
	f.apply()
	f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil)
	caller := lab.NewCaller("gifts-caller-token")
	call := func(mark string) lab.Reply {
		return caller.CallService(n.Settings.CallerAddress, "POST", receiptPath, mark, "", "body")
	}
	f.waitUntil("the node serves", func() bool { return call("direct").Status == 200 })
	p.Set(n.Settings.VM, paths.Refused, nil)
	f.waitUntil("the node serves through others", func() bool { return call("through another node").Status == 200 })
	for _, e := range f.PlainEndpoints {
		e.PauseWithinMillis.Store(2000)
	}
	const mark = "cut short"
	replies := make(chan lab.Reply, 1)
	go func() { replies <- call(mark) }()
	f.waitUntil("the request runs", func() bool { return f.runCount(mark) == 1 })
	time.Sleep(200 * time.Millisecond) // for the first part of the answer
	for _, other := range f.nodes {
		other.Kill()
	}
	r := <-replies
	f.Check(r.Status, qt.Equals, 502, qt.Commentf("%q, %v", r.Text, r.Err))
	f.Check(f.runCount(mark), qt.Equals, 1)
}
