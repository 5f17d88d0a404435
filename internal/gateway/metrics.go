package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/readers"
)

// metrics counts requests by outcome and measures their times.
type metrics struct {
	answered, failed   tally.Counter // answers passed on with a status below 500, and with 500 or above
	refused            map[Reason]tally.Counter
	cutOff             map[endCause]tally.Counter // answers cut off
	attemptsEnded      map[endCause]tally.Counter // attempts that ended without a complete answer
	sends, resends     tally.Counter              // attempts, and repeated ones other than hedged
	resendsRefused     tally.Counter              // repeated attempts, including hedged ones, that the retry budget did not allow
	sendsLimited       tally.Counter              // attempts at endpoints that announce a rate limit
	sendsPaused        tally.Counter              // attempts at endpoints whose pause has not ended
	pauses             tally.Counter              // pauses requested by endpoints
	stalls             tally.Counter              // streams that timed out
	overtaken          tally.Counter              // attempts that were closed because one sent before them has gone on
	heldBack           tally.Counter              // requests refused because endpoints have ended while they ran them
	stopped            tally.Counter              // attempts stopped before they began, for the same reason
	refusedStopping    tally.Counter              // requests refused because this node is stopping
	late               tally.Counter              // answers that missed an objective
	malformed          tally.Counter              // attempts that an endpoint answered with bytes that are no answer
	callersCut         map[readers.Reason]tally.Counter
	firstEvent, answer tally.Timer // time to the first event of a stream, and to the end of an answer
	placeWait          tally.Timer // wait for a place
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		answered: scope.Counter("requests_answered"), failed: scope.Counter("requests_failed_by_endpoint"),
		refused: make(map[Reason]tally.Counter), callersCut: make(map[readers.Reason]tally.Counter),
		cutOff: make(map[endCause]tally.Counter), attemptsEnded: make(map[endCause]tally.Counter),
		sends: scope.Counter("sends"), resends: scope.Counter("resends"), resendsRefused: scope.Counter("resends_refused"), sendsLimited: scope.Counter("sends_limited"),
		sendsPaused: scope.Counter("sends_paused"), pauses: scope.Counter("pauses_asked_for"),
		stalls:    scope.Counter("stalls"),
		overtaken: scope.Counter("attempts_overtaken"),
		heldBack:  scope.Counter("requests_held_back"),
		stopped:   scope.Counter("attempts_stopped"),
		late:      scope.Counter("requests_late"),
		malformed: scope.Counter("answers_malformed"),

		refusedStopping: scope.Counter("requests_refused_stopping"),
		firstEvent:      scope.Timer("first_event"), answer: scope.Timer("answer"), placeWait: scope.Timer("queue_wait"),
	}
	for _, r := range readers.Reasons {
		m.callersCut[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("callers_cut")
	}
	for _, c := range endCauses {
		tagged := scope.Tagged(map[string]string{"by": string(c)})
		m.cutOff[c], m.attemptsEnded[c] = tagged.Counter("answers_broken_off"), tagged.Counter("attempts_ended")
	}
	for r := NoRoute; r <= TimedOut; r++ {
		m.refused[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter("requests_refused")
	}
	return m
}

// recordAnswer records an answer that was passed on after the given time.
func (m *metrics) recordAnswer(status int, took time.Duration) {
	m.answer.Record(took)
	if status >= minServerErrorStatus {
		m.failed.Inc(1)
		return
	}
	m.answered.Inc(1)
}
