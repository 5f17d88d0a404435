package integration

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// pauseSeconds exceeds the time that any caller in these tests waits.
const pauseSeconds = 600

// checkRefusedAtOnce sends requests until one reaches no endpoint, that is, leaves attempts unchanged. It checks that
// this one is refused as not run, with a Retry-After of more than half the pause.
func (f *fleet) checkRefusedAtOnce(attempts func() int64, send func() lab.Reply) {
	f.Helper()
	var reply lab.Reply
	f.waitUntil("the request reaches no endpoint", func() bool {
		before := attempts()
		reply = send()
		return attempts() == before
	})
	f.Check(reply.Status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(reply.Verdict, qt.Equals, "not-run")
	seconds, err := strconv.Atoi(reply.RetryAfter)
	f.Check(err, qt.IsNil)
	f.Check(seconds > pauseSeconds/2, qt.IsTrue, qt.Commentf("Retry-After is %d s", seconds))
}

// Guards against a node sending requests to engines during the pause that they have asked for with Retry-After.
func TestEnginesThatAskForAPauseGetNoRequests(t *testing.T) {
	f := newFleet(t)
	attempts := func() int64 {
		n := int64(0)
		for _, e := range f.Engines {
			n += e.Requests.Load()
		}
		return n
	}
	for _, e := range f.Engines {
		e.RetryAfterSeconds.Store(pauseSeconds)
	}
	f.checkRefusedAtOnce(attempts, func() lab.Reply { return f.complete(0, "p", 1, nil) })
}

// Guards against a node sending requests to a group whose engine has refused with Retry-After while other groups
// have free places.
func TestGroupThatAsksForAPauseGetsNoRequests(t *testing.T) {
	f := newFleet(t)
	f.waitUntil("the first completion is whole", func() bool { return f.complete(0, "first", 1, nil).Complete })
	var pausingVM string
	for vm, e := range f.Engines {
		if e.Runs.Load() > 0 {
			pausingVM = vm
			e.RetryAfterSeconds.Store(pauseSeconds)
		}
	}
	before := f.Engines[pausingVM].Requests.Load()
	for i := range 40 {
		f.Check(f.complete(0, fmt.Sprint("letter", i), 1, nil).Complete, qt.IsTrue)
	}
	f.Check(f.Engines[pausingVM].Requests.Load()-before <= 1, qt.IsTrue, qt.Commentf("%d more attempts at the pausing engine", f.Engines[pausingVM].Requests.Load()-before))
}

// Guards against a node sending requests to endpoints of a plain service during the pause that they have asked for
// with Retry-After.
func TestPlainEndpointsThatAskForAPauseGetNoRequests(t *testing.T) {
	f := newFleet(t)
	for _, p := range f.PlainEndpoints {
		p.RetryAfterSeconds.Store(pauseSeconds)
	}
	refusals := func() int64 {
		return f.PlainEndpoints["receipts-1"].Refused.Load() + f.PlainEndpoints["receipts-2"].Refused.Load()
	}
	gifts := lab.NewCaller("gifts-caller-token")
	f.checkRefusedAtOnce(refusals, func() lab.Reply {
		return gifts.CallService(f.callerAddress(0), http.MethodPost, receiptPath, "m", "", "100 kr")
	})
}
