package gateway_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/tunnel"
	"moorrun.dev/moorrun/internal/verdict"
)

// Guards against an endpoint that is avoided because another node has sent what cannot be read, and against one that is not avoided although
// it has sent that itself.
func TestOnlyTheEndpointThatSentNoAnswerIsAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		err     error
		avoided bool
	}{
		"endpoint":   {gateway.ErrNoAnswer, true},
		"other node": {fmt.Errorf("%w: %w: unknown frame", gateway.ErrNoAnswer, tunnel.ErrBroken), false},
	} {
		g := newTestGatewayOf(2)
		bad := g.serve("/lost/a", script{headErr: verdict.New(verdict.MayHaveRun, test.err)}).attempts[0].Endpoint.ID
		met := 0
		for range 20 {
			if g.serve("/lost/a", script{head: streamHead, events: []string{"1"}}).attempts[0].Endpoint.ID == bad {
				met++
			}
		}
		qt.Check(t, met == 0, qt.Equals, test.avoided, qt.Commentf("%s: %d of 20", name, met))
	}
}
