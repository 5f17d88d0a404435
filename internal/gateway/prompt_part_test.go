package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/quarantine"
)

// servePrompt serves a stream request with the parts, whose body no other request has.
func (s *testGateway) servePrompt(number int, parts []string, scripts ...script) *exchange {
	x := &exchange{scripts: scripts}
	s.gateway.Serve(context.Background(), &gateway.Request{
		ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", Received: time.Now(), Body: []byte(fmt.Sprint(number)), PromptParts: parts,
	}, x)
	return x
}

// hasEnding reports whether an ending is recorded against the part.
func (s *testGateway) hasEnding(part string) bool {
	signature := quarantine.NewSignature(&quarantine.Content{}, "m", []string{part})
	records, _ := s.quarantine.Since(0, func(quarantine.Source) bool { return true }, 100)
	return slices.ContainsFunc(records, func(r quarantine.Record) bool { return r.Fingerprint == signature.Parts[0] && len(r.Endings) > 0 })
}

// firstHasEnded returns a probe that finds that the endpoint which it is first asked for has ended, and no other.
func firstHasEnded() func(context.Context, *endpoint.Endpoint) quarantine.ProbeResult {
	var mu sync.Mutex
	ended := ""
	return func(_ context.Context, e *endpoint.Endpoint) quarantine.ProbeResult {
		mu.Lock()
		defer mu.Unlock()
		if ended == "" {
			ended = e.ID
		}
		if e.ID == ended {
			return quarantine.Ended
		}
		return quarantine.Alive
	}
}

// Guards against blaming the parts of prompts whose answers had begun when their endpoint ended: an endpoint ends when it begins to
// write on a part, so the others that it was answering are not the cause.
func TestOnlyPartsOfAnswersThatHadNotBegunAreBlamed(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		blamed bool
	}{
		"no head":            {script{headErr: errMayHaveRun}, true},
		"no event":           {script{head: streamHead, broken: errMayHaveRun}, true},
		"broken off midway":  {script{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}, false},
		"not sent":           {script{sendErr: errNotRun}, false},
		"refused as not run": {script{head: notRunHead}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway()
			s.gateway.Investigator.Probe = firstHasEnded()
			s.servePrompt(1, []string{"part", "own"}, c.script)
			time.Sleep(20 * time.Millisecond) // for the investigation
			qt.Check(t, s.hasEnding("part"), qt.Equals, c.blamed)
		})
	}
}

// Guards against requests that wait at endpoints when their part begins to be held back: each would end one more.
func TestWaitingRequestIsStoppedWhenItsPartIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestGateway()
		signature := quarantine.NewSignature(&quarantine.Content{Workspace: "w"}, "m", []string{"part"})
		end := func(from, to uint32) {
			for i := from; i <= to; i++ {
				s.quarantine.PartsEnded(quarantine.Ending{InstanceHash: i, Domain: i, At: time.Now()}, signature.Parts, time.Now())
			}
		}
		end(1, 1)
		time.AfterFunc(50*time.Millisecond, func() { end(2, 3) })
		began := time.Now()
		x := s.servePrompt(1, []string{"common", "part", "own"}, script{silent: true})
		qt.Check(t, time.Since(began) < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		qt.Check(t, x.attempts, qt.HasLen, 1)
		qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf("it may have begun to run"))
	})
}
