package gateway_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/tunnel"
	"moorrun.dev/moorrun/internal/verdict"
)

// errPathBroke is the failure of an attempt whose connection went through a node that has died.
var errPathBroke = verdict.New(verdict.MayHaveRun, fmt.Errorf("call: %w", tunnel.ErrBroken))

// Guards against a request that fails although its only endpoint is sound, because the node that relayed its answer has died.
func TestRequestIsSentAgainToTheEndpointWhosePathBroke(t *testing.T) {
	x := newTestGatewayOf(1).serve("/stream/a", script{head: streamHead, events: []string{"1", "2"}, broken: errPathBroke}, script{head: streamHead, events: []string{"3"}})
	qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3"})
	qt.Check(t, x.aborted, qt.IsFalse)
	qt.Assert(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.attempts[1].ResumeAfter, qt.Equals, "2")
	x = newTestGatewayOf(1).serve("/again/a", script{headErr: errPathBroke}, script{head: okHead, body: "b"})
	qt.Check(t, x.body, qt.Equals, "b")
}

// Guards against sending a request that may run once, or one whose attempts are used up, again after its path broke.
func TestBrokenPathGivesNoFurtherAttempts(t *testing.T) {
	x := newTestGateway().serve("/once/a", script{headErr: errPathBroke}, script{head: okHead})
	qt.Check(t, x.attempts, qt.HasLen, 1)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed)
	x = newTestGateway().serve("/stream/a", script{head: streamHead, events: []string{"1"}, broken: errPathBroke})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.aborted, qt.IsTrue)
}

// Guards against an endpoint that fails after its path broke being tried once more in place of another one.
func TestEndpointThatFailsAfterItsPathBrokeIsNotTriedAgain(t *testing.T) {
	notRun := script{head: notRunHead}
	x := newTestGatewayOf(2).serve("/again/a", script{headErr: errPathBroke}, notRun, script{head: okHead, body: "b"})
	qt.Assert(t, x.attempts, qt.HasLen, 3)
	qt.Check(t, x.attempts[1].Endpoint.ID, qt.Not(qt.Equals), x.attempts[2].Endpoint.ID)
}
