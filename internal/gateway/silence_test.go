package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
)

// silence is longer than a running stream may be silent before another group is tried.
const silence = 1200 * time.Millisecond

// silentWithin is an answer with a silence after its second event.
var silentWithin = script{head: streamHead, events: []string{"1", "2"}, pause: silence, later: []string{"3", "4"}}

// otherAttempts are the ways in which a second attempt comes to nothing.
var otherAttempts = map[string]script{
	"refused":      {head: notRunHead},
	"unreachable":  {sendErr: errNotRun},
	"broken":       {headErr: errMayHaveRun},
	"server error": {head: gateway.Head{Status: 500}},
	"silent":       {silent: true},
}

// checkAllClosed checks that no attempt is left running.
func checkAllClosed(t *testing.T, x *exchange) {
	t.Helper()
	for i, r := range x.replies {
		qt.Check(t, r.closed.Load(), qt.IsTrue, qt.Commentf("attempt %d", i+1))
	}
}

// Guards against cutting off the answer of an endpoint that is silent for a second because no other group takes the stream up.
func TestSilentStreamGoesOnIfNoOtherGroupTakesItUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestGatewayOf(1).serve("/stream/a", silentWithin)
		qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"})
		qt.Check(t, x.aborted, qt.IsFalse)
		checkAllClosed(t, x)
	})
}

// Guards against cutting off the answer of an endpoint that is silent for a second because a second attempt comes to nothing.
func TestSilentStreamGoesOnIfItsSecondAttemptComesToNothing(t *testing.T) {
	t.Parallel()
	checkWithOtherAttempts(t, silentWithin, "1", "2", "3", "4")
}

// checkWithOtherAttempts checks that a stream whose first attempt is silent for a while delivers the events whatever becomes of the second.
func checkWithOtherAttempts(t *testing.T, silent script, events ...string) {
	t.Helper()
	for name, other := range otherAttempts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTestGateway().serve("/stream/a", silent, other)
				qt.Check(t, x.refusal, qt.IsNil)
				qt.Check(t, x.events, qt.DeepEquals, events)
				qt.Check(t, x.aborted, qt.IsFalse)
				checkAllClosed(t, x)
			})
		})
	}
}

// Guards against failing a stream that has not begun because its first attempt is given up before a second one has an event.
func TestStreamThatIsSilentBeforeItsFirstEventGoesOn(t *testing.T) {
	t.Parallel()
	checkWithOtherAttempts(t, script{head: streamHead, late: true, pause: 2 * time.Second, later: []string{"1", "2"}}, "1", "2")
}

// Guards against failing a call whose endpoint answers because it was sent again, to no effect, before that.
func TestSlowCallIsAnsweredIfItsSecondAttemptComesToNothing(t *testing.T) {
	t.Parallel()
	slow := script{head: okHead, late: true, pause: 300 * time.Millisecond, body: "answer"}
	for name, other := range otherAttempts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTestGateway().serve("/again/a", slow, other)
				qt.Check(t, x.refusal, qt.IsNil)
				qt.Check(t, x.body, qt.Equals, "answer")
				checkAllClosed(t, x)
			})
		})
	}
	t.Run("no other endpoint", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := newTestGatewayOf(1).serve("/again/a", slow)
			qt.Check(t, x.refusal, qt.IsNil)
			qt.Check(t, x.body, qt.Equals, "answer")
		})
	})
}

// Guards against repeated, missing or mixed events when both attempts of a stream go on at the same moment.
func TestAttemptsThatGoOnTogetherDoNotMixEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a seeded test
		var running sync.WaitGroup
		defer running.Wait()
		for i := range 60 {
			// The second attempt is sent when the first has been silent for 0.6 to 1 s.
			first, second := silentWithin, script{head: streamHead, pause: 550 * time.Millisecond, later: []string{"3", "4"}}
			first.pause += time.Duration(random.IntN(100)) * time.Millisecond
			running.Go(func() {
				x := newTestGateway().serve("/stream/a", first, second)
				qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"}, qt.Commentf("run %d", i))
				qt.Check(t, x.aborted, qt.IsFalse)
				checkAllClosed(t, x)
			})
		}
	})
}

// Guards against an attempt that goes on at its endpoint after the caller has left while another one ran beside it.
func TestCallerThatLeavesDuringASecondAttemptEndsBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway()
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(silence, leave)
		x := &exchange{scripts: []script{{head: streamHead, events: []string{"1"}, stall: true}, {silent: true}}}
		g.gateway.Serve(ctx, &gateway.Request{ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", Received: time.Now()}, x)
		qt.Check(t, x.attempts, qt.HasLen, 2)
		checkAllClosed(t, x)
	})
}

// Guards against retries beyond the route's attempts while a stream is silent more than once.
func TestSilentStreamIsSentNoMoreOftenThanItsRouteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestGateway().serve("/stream/a", silentWithin, script{headErr: errMayHaveRun}, script{head: streamHead, events: []string{"3", "4"}})
		qt.Check(t, x.attempts, qt.HasLen, 2)
		qt.Check(t, x.events, qt.HasLen, 4)
	})
}

// Guards against moving streams among groups that are all silent, where each reads the prompts anew and the route's attempts are spent,
// also at the moment at which they go on one after the other.
func TestStreamsStayWhereTheyAreWhileAllGroupsAreSilent(t *testing.T) {
	for _, apart := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGatewayOf(2)
				both := newBarrier(2)
				var running sync.WaitGroup
				for i := range 2 { // one at each group
					s := silentWithin
					s.others, s.pause = both, silence+time.Duration(i)*apart
					running.Go(func() {
						x := g.serve("/stream/a", s)
						qt.Check(t, x.attempts, qt.HasLen, 1)
						qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"})
					})
				}
				running.Wait()
			})
		})
	}
}

// Guards against taking a pause of this process for a silence of the endpoints, whose answers have arrived meanwhile.
func TestPauseOfTheProcessIsNoSilenceOfEndpoints(t *testing.T) {
	t.Parallel()
	for path, s := range map[string]script{
		"/stream/a": {head: streamHead, events: []string{"1"}, pause: 300 * time.Millisecond, later: []string{"2"}, asleep: 2 * time.Second},
		"/again/a":  {head: okHead, late: true, pause: 70 * time.Millisecond, body: "answer", asleep: 400 * time.Millisecond},
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway()
				x := g.serve(path, s)
				qt.Check(t, x.refusal, qt.IsNil)
				qt.Check(t, x.attempts, qt.HasLen, 1)
				qt.Check(t, g.scope.Snapshot().Counters()["stalls+"].Value(), qt.Equals, int64(0))
			})
		})
	}
}

func TestSilentStreamsAreHedgedAcrossSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded test
				first, second := silentWithin, script{head: streamHead, events: []string{"3", "4"}}
				first.pause = time.Duration(random.IntN(2500)) * time.Millisecond
				second.late, second.pause = true, time.Duration(random.IntN(1500))*time.Millisecond
				second.events, second.later = nil, []string{"3", "4"}
				x := newTestGateway().serve("/stream/a", first, second)
				qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"})
				checkAllClosed(t, x)
			})
		})
	}
}
