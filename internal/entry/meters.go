package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/clock"
)

// meters are the callers' side metrics.
type meters struct {
	requests   tally.Counter
	refusals   tally.Counter
	failures   tally.Counter
	retries    tally.Counter
	tokens     tally.Counter
	cutStreams tally.Counter
	crossed    tally.Counter
	firstToken tally.Timer
	wait       tally.Timer
}

func newMeters(scope tally.Scope) meters {
	return meters{
		requests: scope.Counter("requests"), refusals: scope.Counter("refusals"), failures: scope.Counter("failures"),
		retries: scope.Counter("retries"), tokens: scope.Counter("stream_events"), cutStreams: scope.Counter("cut_streams"),
		crossed: scope.Counter("crossed_answers"), firstToken: scope.Timer("first_token"), wait: scope.Timer("place_wait"),
	}
}

func (m meters) waited(since time.Time) { m.wait.Record(clock.Since(since)) }
