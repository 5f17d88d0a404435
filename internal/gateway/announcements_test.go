package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/ratelimit"
)

// Guards against losing an endpoint's announcements about itself when its answer is not passed on to the caller.
func TestAnnouncementsInAnAnswerAreRecorded(t *testing.T) {
	for name, first := range map[string]script{
		"asks for a pause": {head: gateway.Head{Status: 503, NotRun: true, RetryAfter: time.Minute}},
		"asks for a pause, but may have run the request": {head: gateway.Head{Status: 503, RetryAfter: time.Minute}, headErr: errMayHaveRun},
		"announces that it leaves":                       {head: gateway.Head{Status: 200, Events: true, Leaving: true}, events: []string{"1"}},
		"announces a limit of zero":                      {head: gateway.Head{Status: 200, Events: true, Limit: ratelimit.Limit{Named: true}}, events: []string{"1"}},
	} {
		s := newTestGateway()
		before := s.serve("/stream/a", first, script{head: streamHead, events: []string{"1"}}).attempts[0].Endpoint.ID
		for range 12 {
			x := s.serve("/stream/a", script{head: streamHead, events: []string{"1"}})
			qt.Check(t, x.attempts[0].Endpoint.ID, qt.Not(qt.Equals), before, qt.Commentf(name))
		}
	}
}
