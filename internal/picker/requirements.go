package picker

import (
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/engine"
)

// ErrNoPlace is returned when no endpoint had capacity for the request in time. The request has not been sent.
var ErrNoPlace = errors.New("no place at any endpoint")

// ErrNoEndpoint is returned when no endpoint serves the requested service and model. The request has not been sent.
var ErrNoEndpoint = errors.New("no endpoint that serves it is left")

// Requirements describes the place that a request needs.
type Requirements struct {
	Service string
	Model   string // empty for standalone endpoints
	Slots   int    // requests that a replica group runs at once
	Size    int    // members of a replica group
	// PromptTokens is the length of the prompt in tokens, and Objective the time within which the first event should arrive.
	// Each is zero if unknown.
	PromptTokens int
	Objective    time.Duration
	Engine       engine.Model // performance model of a group that runs Model; zero if unknown
	// ColdFor is how long an endpoint of the service is cold after its start. ColdPerSecond is the rate of requests per second
	// that a cold endpoint can take; zero if it is not limited.
	ColdFor       time.Duration
	ColdPerSecond float64
	Priority      int // 0 is the most urgent
	Workspace     string
	Exclude       []string      // groups and endpoints that have failed the request
	SkipStalled   bool          // take no group that is known to have stalled, or has only just gone on
	MaxWait       time.Duration // longest wait for a place
}

func (w *Requirements) excludes(key string) bool {
	for _, e := range w.Exclude {
		if e == key {
			return true
		}
	}
	return false
}

// coldWindowSeconds limits the concurrent requests at a cold endpoint to those that arrive in this time at ColdPerSecond, so that
// its queue stays short if it is slow.
const coldWindowSeconds = 0.25

// coldLimit returns how many concurrent requests a cold endpoint may have.
func (w *Requirements) coldLimit() int { return max(1, int(coldWindowSeconds*w.ColdPerSecond)) }
