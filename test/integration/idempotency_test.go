package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

const receiptPath = "/services/receipts/receipts"

func (f *fleet) runCount(mark string) int {
	return f.PlainEndpoints["receipts-1"].Runs(mark) + f.PlainEndpoints["receipts-2"].Runs(mark)
}

func TestSameKeyThroughAnyAddressRunsOnce(t *testing.T) {
	f := newFleet(t)
	gifts := lab.NewCaller("gifts-caller-token")
	prefix, err := gifts.KeyPrefix(f.callerAddress(0))
	f.Assert(err, qt.IsNil)
	for _, p := range f.PlainEndpoints {
		p.DelayMillis.Store(200)
	}
	var sends sync.WaitGroup
	for i := range 9 {
		sends.Go(func() {
			reply := gifts.CallService(f.callerAddress(i%3), http.MethodPost, receiptPath, "once", prefix+"/once", "100 kr")
			f.Check(reply.Status, qt.Equals, http.StatusOK)
			f.Check(reply.Verdict, qt.Equals, "ran")
		})
	}
	sends.Wait()
	f.Check(f.runCount("once"), qt.Equals, 1)
	reused := gifts.CallService(f.callerAddress(1), http.MethodPost, receiptPath, "once", prefix+"/once", "200 kr")
	f.Check(reused.Status, qt.Equals, http.StatusUnprocessableEntity)
}

func TestKeyIsNotRunAgainAfterItsHomeIsLost(t *testing.T) {
	f := newFleet(t)
	gifts := lab.NewCaller("gifts-caller-token")
	prefix, err := gifts.KeyPrefix(f.callerAddress(0))
	f.Assert(err, qt.IsNil)
	f.Check(gifts.CallService(f.callerAddress(0), http.MethodPost, receiptPath, "lost", prefix+"/lost", "1").Status, qt.Equals, http.StatusOK)
	f.nodes[0].Kill()
	again := gifts.CallService(f.callerAddress(1), http.MethodPost, receiptPath, "lost", prefix+"/lost", "1")
	f.Check(again.Verdict, qt.Equals, "may-have-run")
	replaced, err := f.Restart(f.nodes[0])
	f.Assert(err, qt.IsNil)
	f.nodes[0] = replaced
	f.waitUntil("the replaced node serves requests", func() bool { return f.complete(0, "x", 1, nil).Complete })
	again = gifts.CallService(f.callerAddress(0), http.MethodPost, receiptPath, "lost", prefix+"/lost", "1")
	f.Check(again.Verdict, qt.Equals, "may-have-run")
	f.Check(f.runCount("lost"), qt.Equals, 1)
}

func TestRequestsWithCutAnswersRunAtMostOnce(t *testing.T) {
	f := newFleet(t)
	gifts := lab.NewCaller("gifts-caller-token")
	f.PlainEndpoints["receipts-1"].AbortNext.Store(5)
	f.PlainEndpoints["receipts-2"].AbortNext.Store(5)
	for i := range 20 {
		mark := fmt.Sprint("cut", i)
		reply := gifts.CallService(f.callerAddress(i%3), http.MethodPost, receiptPath, mark, "", "1")
		runs := f.runCount(mark)
		f.Check(runs <= 1, qt.IsTrue)
		f.Check(reply.Verdict == "not-run" && runs > 0, qt.IsFalse, qt.Commentf("verdict not-run, but the request ran %d times", runs))
		f.Check(reply.Verdict == "ran" && runs == 0, qt.IsFalse)
	}
}

func TestRefusedConnectionCountsAsNotRun(t *testing.T) {
	f := newFleet(t)
	gifts := lab.NewCaller("gifts-caller-token")
	f.PlainEndpoints["receipts-1"].Kill()
	for i := range 10 {
		reply := gifts.CallService(f.callerAddress(i%3), http.MethodPost, receiptPath, fmt.Sprint("d", i), "", "1")
		f.Check(reply.Status, qt.Equals, http.StatusOK, qt.Commentf("a request whose connection was refused has not run and is sent to the other endpoint"))
		f.Check(f.runCount(fmt.Sprint("d", i)), qt.Equals, 1)
	}
	f.PlainEndpoints["receipts-2"].Kill()
	reply := gifts.CallService(f.callerAddress(0), http.MethodPost, receiptPath, "none", "", "1")
	f.Check(reply.Verdict, qt.Equals, "not-run")
}
