package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/tunnel"
	"moorrun.dev/moorrun/internal/verdict"
)

// Guards against answers broken off of which operators cannot tell whether the endpoint, the path, the deadline or the caller ended them.
func TestMetricsTellWhatBrokeAnAnswerOff(t *testing.T) {
	cut := func(err error) script { return script{head: streamHead, events: []string{"1"}, broken: err} }
	for cause, s := range map[string]script{
		"endpoint": cut(errMayHaveRun),
		"path":     cut(verdict.New(verdict.MayHaveRun, fmt.Errorf("read: %w", tunnel.ErrBroken))),
		"deadline": {head: streamHead, events: []string{"1"}, stall: true},
	} {
		g := newTestGateway()
		x := g.serve("/lost/a", s)
		qt.Check(t, x.aborted, qt.IsTrue, qt.Commentf(cause))
		counters := g.scope.Snapshot().Counters()
		qt.Check(t, counters["answers_broken_off+by="+cause].Value(), qt.Equals, int64(1), qt.Commentf(cause))
		qt.Check(t, counters["attempts_ended+by="+cause].Value(), qt.Equals, int64(1), qt.Commentf(cause))
	}
}

func TestMetricsTellThatTheCallerHasLeft(t *testing.T) {
	g := newTestGateway()
	ctx, leave := context.WithCancel(context.Background())
	x := &exchange{scripts: []script{{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}}}
	leave()
	g.gateway.Serve(ctx, &gateway.Request{ID: "r", Host: "h", Path: "/lost/a", Credential: "key", Model: "m", Received: time.Now()}, x)
	qt.Check(t, g.scope.Snapshot().Counters()["attempts_ended+by=caller"].Value(), qt.Equals, int64(1))
}

// Guards against a log that blames the caller for an answer that the stop of this node cuts off.
func TestMetricsTellThatTheNodeWasStopped(t *testing.T) {
	g := newTestGateway()
	ctx, stop := context.WithCancelCause(context.Background())
	x := &exchange{scripts: []script{{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}}}
	stop(gateway.ErrStopping)
	g.gateway.Serve(ctx, &gateway.Request{ID: "r", Host: "h", Path: "/lost/a", Credential: "key", Model: "m", Received: time.Now()}, x)
	qt.Check(t, g.scope.Snapshot().Counters()["attempts_ended+by=stop"].Value(), qt.Equals, int64(1))
}
