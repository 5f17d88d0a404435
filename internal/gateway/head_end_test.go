package gateway_test

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/verdict"
)

// Guards against taking the end of a connection before the head of an answer, or within it, for the end of a complete stream.
func TestStreamWhoseConnectionEndsBeforeItsHeadIsNotWhole(t *testing.T) {
	ended := verdict.New(verdict.MayHaveRun, fmt.Errorf("read: %w", io.EOF))
	for name, s := range map[string]script{
		"while it is sent":       {sendErr: ended},
		"before the head":        {headErr: ended},
		"before the first event": {head: streamHead, broken: ended},
	} {
		x := newTestGateway().serve("/lost/a", s)
		qt.Check(t, x.status, qt.Equals, 0, qt.Commentf(name))
		qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf(name))
	}
	x := newTestGateway().serve("/lost/a", script{head: streamHead, events: []string{"1"}, broken: ended})
	qt.Check(t, x.aborted, qt.IsTrue)
}
