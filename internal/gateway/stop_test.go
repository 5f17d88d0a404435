package gateway_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gateway"
)

// stopIn makes the process end what still runs after the given time.
func (s *testGateway) stopIn(d time.Duration) {
	stop := gateway.Stop{End: clock.Now().Add(d), Elsewhere: true}
	s.stop = func() gateway.Stop { return stop }
}

func checkRefusedUnsent(t *testing.T, x *exchange) {
	t.Helper()
	qt.Check(t, x.attempts, qt.HasLen, 0)
	qt.Assert(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("the refusal has a Retry-After"))
}

// Guards against a stopping node that begins a request whose deadline lies beyond its own end, and against one that refuses what it has
// time for.
func TestStoppingNodeBeginsOnlyWhatEndsBeforeIt(t *testing.T) {
	for _, test := range []struct {
		name          string
		left          time.Duration
		path          string
		callerTimeout time.Duration
		served        bool
	}{
		{"call, no time left", 0, "/once/a", 0, false},
		{"call, past the end", -time.Second, "/once/a", 0, false},
		{"call, less time than its route allows", 900 * time.Millisecond, "/once/a", 0, false},
		{"call, the caller waits for less", 900 * time.Millisecond, "/once/a", 500 * time.Millisecond, true},
		{"call, time enough", 1500 * time.Millisecond, "/once/a", 0, true},
		{"repeatable call, less time", 900 * time.Millisecond, "/again/a", 0, false},
		{"stream, less time", 3 * time.Second, "/stream/a", 0, false},
		{"stream, time enough", 5 * time.Second, "/stream/a", 0, true},
		{"stream that cannot be resumed, less time", 1500 * time.Millisecond, "/lost/a", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway()
			g.stopIn(test.left)
			head := okHead
			if test.path == "/stream/a" {
				head = streamHead
			}
			x := &exchange{scripts: []script{{head: head, events: []string{"1"}}}}
			r := &gateway.Request{ID: "r", Host: "h", Path: test.path, Credential: "key", Model: "m", Received: clock.Now(), CallerTimeout: test.callerTimeout}
			unread := &exchange{}
			qt.Check(t, g.gateway.RefuseUnread(r, unread), qt.Equals, !test.served)
			g.gateway.Serve(context.Background(), r, x)
			if test.served {
				qt.Check(t, x.attempts, qt.HasLen, 1)
				qt.Check(t, x.refusal, qt.IsNil)
				return
			}
			checkRefusedUnsent(t, x)
			checkRefusedUnsent(t, unread)
			qt.Check(t, g.scope.Snapshot().Counters()["requests_refused_stopping+"].Value(), qt.Equals, int64(2))
		})
	}
}

// Guards against refusals for a stop that hide that a path has no route, and against those of a node without a configuration.
func TestOnlyRequestsWithARouteAreRefusedUnread(t *testing.T) {
	g := newTestGateway()
	g.stopIn(0)
	x := &exchange{}
	qt.Check(t, g.gateway.RefuseUnread(&gateway.Request{Host: "h", Path: "/none/a", Received: clock.Now()}, x), qt.IsFalse)
	g.table = nil
	qt.Check(t, g.gateway.RefuseUnread(&gateway.Request{Host: "h", Path: "/once/a", Received: clock.Now()}, x), qt.IsFalse)
	qt.Check(t, x.refusal, qt.IsNil)
}

// Guards against callers of the last node that come back at once, although nobody can serve them yet.
func TestCallersOfTheLastNodeComeBackLater(t *testing.T) {
	g := newTestGateway()
	stop := gateway.Stop{End: clock.Now()}
	g.stop = func() gateway.Stop { return stop }
	alone := g.serve("/once/a", script{head: okHead})
	stop.Elsewhere = true
	elsewhere := g.serve("/once/a", script{head: okHead})
	qt.Assert(t, alone.refusal, qt.IsNotNil)
	qt.Assert(t, elsewhere.refusal, qt.IsNotNil)
	qt.Check(t, alone.refusal.RetryAfter > elsewhere.refusal.RetryAfter, qt.IsTrue)
}

// Guards against callers that are refused by one stopping node after the other, because most of the addresses that they hold are of such nodes.
func TestCallersWaitWhileOtherNodesStopToo(t *testing.T) {
	g := newTestGateway()
	stop := gateway.Stop{End: clock.Now(), Elsewhere: true, Wait: time.Second}
	g.stop = func() gateway.Stop { return stop }
	x := g.serve("/once/a", script{head: okHead})
	qt.Assert(t, x.refusal, qt.IsNotNil)
	qt.Check(t, x.refusal.RetryAfter >= stop.Wait, qt.IsTrue)
}

// stopAtFirstAttempt makes the process stop once the exchange has sent its first attempt.
func (s *testGateway) stopAtFirstAttempt(x *exchange) {
	s.stop = func() gateway.Stop {
		x.mu.Lock()
		defer x.mu.Unlock()
		if len(x.attempts) == 0 {
			return gateway.Stop{}
		}
		return gateway.Stop{End: clock.Now(), Elsewhere: true}
	}
}

// Guards against a request that no endpoint has begun, and that a stopping node begins at another one.
func TestRequestThatDidNotRunIsNotSentAgainByAStoppingNode(t *testing.T) {
	g := newTestGateway()
	x := &exchange{scripts: []script{{head: notRunHead}, {head: okHead}}}
	g.stopAtFirstAttempt(x)
	g.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: "/once/a", Credential: "key", Received: clock.Now()}, x)
	qt.Check(t, x.attempts, qt.HasLen, 1)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.refusal.RetryAfter > 0, qt.IsTrue)
}

// Guards against an answer that is cut off by an endpoint's failure because its node, which still has time, is stopping.
func TestStreamIsResumedByAStoppingNode(t *testing.T) {
	g := newTestGateway()
	x := &exchange{scripts: []script{{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}, {head: streamHead, events: []string{"2"}}}}
	g.stopAtFirstAttempt(x)
	g.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", Received: clock.Now()}, x)
	qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2"})
	qt.Check(t, x.aborted, qt.IsFalse)
}
