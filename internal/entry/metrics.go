package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/clock"
)

// metrics are the metrics of requests from callers.
type metrics struct {
	requests       tally.Counter
	refusals       tally.Counter
	failures       tally.Counter
	retries        tally.Counter
	streamEvents   tally.Counter
	cutStreams     tally.Counter
	crossedAnswers tally.Counter
	firstToken     tally.Timer
	placeWait      tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		requests: scope.Counter("requests"), refusals: scope.Counter("refusals"), failures: scope.Counter("failures"),
		retries: scope.Counter("retries"), streamEvents: scope.Counter("stream_events"), cutStreams: scope.Counter("cut_streams"),
		crossedAnswers: scope.Counter("crossed_answers"), firstToken: scope.Timer("first_token"), placeWait: scope.Timer("place_wait"),
	}
}

func (m metrics) recordPlaceWait(since time.Time) { m.placeWait.Record(clock.Since(since)) }
