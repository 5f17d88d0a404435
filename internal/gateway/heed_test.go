package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/ratelimit"
)

// Guards against what an endpoint says of itself being lost where its answer is not passed on.
func TestWhatAnAnswerSaysOfItsEndpointIsHeeded(t *testing.T) {
	for name, first := range map[string]script{
		"it asks for a pause":                          {head: gateway.Head{Status: 503, NotRun: true, RetryAfter: time.Minute}},
		"it asks for a pause, but the request may run": {head: gateway.Head{Status: 503, RetryAfter: time.Minute}, headErr: mayRun},
		"it leaves":        {head: gateway.Head{Status: 200, Events: true, Leaving: true}, events: []string{"1"}},
		"it takes nothing": {head: gateway.Head{Status: 200, Events: true, Limit: ratelimit.Limit{Named: true}}, events: []string{"1"}},
	} {
		s := newSite()
		before := s.serve("/stream/a", first, script{head: events, events: []string{"1"}}).attempts[0].Endpoint.ID
		for range 12 {
			x := s.serve("/stream/a", script{head: events, events: []string{"1"}})
			qt.Check(t, x.attempts[0].Endpoint.ID, qt.Not(qt.Equals), before, qt.Commentf(name))
		}
	}
}
