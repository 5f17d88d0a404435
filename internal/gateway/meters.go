package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meters count what becomes of requests.
type meters struct {
	answered, failed tally.Counter // by endpoints, with success and otherwise
	refused          map[Reason]tally.Counter
	broken           tally.Counter // answers broken off
	sends, resends   tally.Counter
	sendsLimited     tally.Counter // to endpoints that name a limit
	sendsPaused      tally.Counter // to endpoints that have asked for a pause
	pauses           tally.Counter // asked for
	stalls           tally.Counter
	held             tally.Counter // refused because endpoints have ended under them
	late             tally.Counter // answered, but not within the objectives
	first, whole     tally.Timer   // until the first event, and the whole answer
	queued           tally.Timer   // wait for a place
}

func newMeters(scope tally.Scope) *meters {
	m := &meters{
		answered: scope.Counter("requests_answered"), failed: scope.Counter("requests_failed_by_endpoint"),
		refused: make(map[Reason]tally.Counter), broken: scope.Counter("answers_broken_off"),
		sends: scope.Counter("sends"), resends: scope.Counter("resends"), sendsLimited: scope.Counter("sends_limited"),
		sendsPaused: scope.Counter("sends_paused"), pauses: scope.Counter("pauses_asked_for"),
		stalls: scope.Counter("stalls"),
		held:   scope.Counter("requests_held_back"),
		late:   scope.Counter("requests_late"),
		first:  scope.Timer("first_event"), whole: scope.Timer("answer"), queued: scope.Timer("queue_wait"),
	}
	for r := NoRoute; r <= TimedOut; r++ {
		m.refused[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter("requests_refused")
	}
	return m
}

// done notes an answer that was passed on.
func (m *meters) done(status int, took time.Duration) {
	m.whole.Record(took)
	if status >= serverError {
		m.failed.Inc(1)
		return
	}
	m.answered.Inc(1)
}
