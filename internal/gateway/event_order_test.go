package gateway_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gateway"
)

// Guards against bytes that are no event of the stream and are passed on as one: without an ID to resume after, or with one that does not
// rise.
func TestEventsThatDoNotFollowAreNotPassedOn(t *testing.T) {
	for name, events := range map[string][]string{"no ID": {"1", ""}, "the same ID": {"1", "1"}, "an earlier ID": {"1", "0"}, "not a number again": {"1", "x", "x"}} {
		g := newTestGateway()
		x := g.serve("/stream/a", script{head: streamHead, events: events}, script{head: streamHead, events: []string{"2", "3"}})
		qt.Check(t, x.attempts, qt.HasLen, 2, qt.Commentf(name))
		qt.Check(t, x.aborted, qt.IsFalse, qt.Commentf(name))
		qt.Check(t, x.events[len(x.events)-2:], qt.DeepEquals, []string{"2", "3"}, qt.Commentf(name))
	}
}

// Guards against a resumed stream that begins again at an event that the caller has.
func TestResumedStreamGoesOnAfterTheLastEvent(t *testing.T) {
	g := newTestGateway()
	x := g.serve("/stream/a", script{head: streamHead, events: []string{"1", "2"}, broken: errMayHaveRun}, script{head: streamHead, events: []string{"2", "3"}})
	qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2"})
	qt.Check(t, x.aborted, qt.IsTrue)
}

func TestStreamThatCannotBeResumedNeedsNoIDs(t *testing.T) {
	g := newTestGateway()
	x := g.serve("/lost/a", script{head: streamHead, events: []string{"", "", ""}})
	qt.Check(t, x.events, qt.HasLen, 3)
	qt.Check(t, x.aborted, qt.IsFalse)
}

// Guards against countless events, with IDs that rise, in place of an answer.
func TestStreamHasNoMoreEventsThanItsAnswerMayHaveTokens(t *testing.T) {
	var endless []string
	for i := range 100 {
		endless = append(endless, fmt.Sprint(i+1))
	}
	serve := func(maxTokens int) *exchange {
		x := &exchange{scripts: []script{{head: streamHead, events: endless}}}
		newTestGateway().gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", MaxTokens: maxTokens, Received: clock.Now()}, x)
		return x
	}
	x := serve(20)
	qt.Check(t, x.events, qt.HasLen, 20)
	qt.Check(t, x.aborted, qt.IsTrue)
	for _, unbounded := range []int{0, 100} {
		x = serve(unbounded)
		qt.Check(t, x.events, qt.HasLen, 100)
		qt.Check(t, x.aborted, qt.IsFalse)
	}
}
