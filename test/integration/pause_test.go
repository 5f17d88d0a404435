package integration

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

// pauseSeconds is longer than any caller here waits.
const pauseSeconds = 600

// refusedAtOnce asks until no endpoint is asked any more, and checks what the caller is told then.
func (f *fleet) refusedAtOnce(asked func() int64, ask func() lab.Reply) {
	f.Helper()
	var reply lab.Reply
	f.until("no endpoint is asked any more", func() bool {
		before := asked()
		reply = ask()
		return asked() == before
	})
	f.Check(reply.Status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(reply.Verdict, qt.Equals, "not-run")
	seconds, err := strconv.Atoi(reply.RetryAfter)
	f.Check(err, qt.IsNil)
	f.Check(seconds > pauseSeconds/2, qt.IsTrue, qt.Commentf("come back after %d s", seconds))
}

// Guards against a node asking engines on that refuse with Retry-After.
func TestEnginesThatAskForAPauseAreLeftAlone(t *testing.T) {
	f := newFleet(t)
	tried := func() int64 {
		n := int64(0)
		for _, e := range f.Engines {
			n += e.Requests.Load()
		}
		return n
	}
	for _, e := range f.Engines {
		e.RetryAfterSeconds.Store(pauseSeconds)
	}
	f.refusedAtOnce(tried, func() lab.Reply { return f.letter(0, "p", 1, nil) })
}

// Guards against a node sending on to a group whose engine refuses with Retry-After while others have room.
func TestGroupThatAsksForAPauseIsPassedOver(t *testing.T) {
	f := newFleet(t)
	f.until("a letter", func() bool { return f.letter(0, "first", 1, nil).Complete })
	var asking string
	for vm, e := range f.Engines {
		if e.Runs.Load() > 0 {
			asking = vm
			e.RetryAfterSeconds.Store(pauseSeconds)
		}
	}
	before := f.Engines[asking].Requests.Load()
	for i := range 40 {
		f.Check(f.letter(0, fmt.Sprint("letter", i), 1, nil).Complete, qt.IsTrue)
	}
	f.Check(f.Engines[asking].Requests.Load()-before <= 1, qt.IsTrue, qt.Commentf("asked %d times", f.Engines[asking].Requests.Load()-before))
}

// Guards against a node asking endpoints of a plain service on that turn calls away with Retry-After.
func TestPlainEndpointsThatAskForAPauseAreLeftAlone(t *testing.T) {
	f := newFleet(t)
	for _, p := range f.PlainEndpoints {
		p.RetryAfterSeconds.Store(pauseSeconds)
	}
	refused := func() int64 {
		return f.PlainEndpoints["receipts-1"].Refused.Load() + f.PlainEndpoints["receipts-2"].Refused.Load()
	}
	gifts := lab.NewCaller("gifts-caller-token")
	f.refusedAtOnce(refused, func() lab.Reply {
		return gifts.CallService(f.address(0), http.MethodPost, receiptPath, "m", "", "100 kr")
	})
}
