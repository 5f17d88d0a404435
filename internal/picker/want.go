package picker

import (
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/engine"
)

// ErrNoPlace is returned when no endpoint may take the request in time. The request has not been sent.
var ErrNoPlace = errors.New("no place at any endpoint")

// ErrNoEndpoint is returned when no endpoint serves what is wanted. The request has not been sent.
var ErrNoEndpoint = errors.New("no endpoint that serves it is left")

// Want says what a request needs.
type Want struct {
	Service string
	Model   string // empty for endpoints that serve alone
	Slots   int    // requests that a replica group runs at once
	Size    int    // members of a replica group
	// PromptTokens is the length of the prompt, and Objective the time within which the first event should come; zero if
	// they are not known.
	PromptTokens int
	Objective    time.Duration
	Engine       engine.Model // how a group of the model works; zero if it is not known
	// ColdFor is how long an endpoint of the service is cold after its start, and ColdPerSecond how many requests a second it
	// bears then; zero if it bears as many as any.
	ColdFor       time.Duration
	ColdPerSecond float64
	Priority      int // 0 is the most urgent
	Workspace     string
	Exclude       []string // groups and endpoints that have failed the request
	Patience      time.Duration
}

func (w *Want) excludes(key string) bool {
	for _, e := range w.Exclude {
		if e == key {
			return true
		}
	}
	return false
}

// coldSeconds is for how many seconds' requests a cold endpoint has room at a time, so that its queue stays short if it is slow.
const coldSeconds = 0.25

// coldLimit is how many requests a cold endpoint may have.
func (w *Want) coldLimit() int { return max(1, int(coldSeconds*w.ColdPerSecond)) }
