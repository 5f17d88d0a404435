package quarantine

import (
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	// recentAnswers is the minimum number of answered requests that are kept; they take about 200 KB. At 230 requests per
	// second, a node's expected share at the planned fleet size, it covers the last nine seconds. Requests that many callers
	// send are repeated sooner.
	recentAnswers = 2048
	// recentBegins is the minimum number of fingerprints of parts on which an answer has begun. At 230 prompts per second of
	// three parts it covers the last 0.8 seconds, in which other nodes report the endings before them. An ending that is
	// reported later counts until the next answer begins.
	recentBegins = 1750
)

// recentTimes holds the most recently set fingerprints with a time for each: at least size, at most twice as many.
type recentTimes struct {
	size              int
	start             time.Time // the times are kept as durations since then, which take less memory
	current, previous map[Fingerprint]time.Duration
}

func newRecentTimes(size int) recentTimes { return recentTimes{size: size, start: clock.Now()} }

func (r *recentTimes) set(f Fingerprint, at time.Time) {
	if r.current == nil || len(r.current) >= r.size {
		r.previous = r.current
		r.current = make(map[Fingerprint]time.Duration)
	}
	r.current[f] = at.Sub(r.start)
}

func (r *recentTimes) has(f Fingerprint) bool { return !r.at(f).IsZero() }

// at returns the time last set for the fingerprint, or the zero time if there is none.
func (r *recentTimes) at(f Fingerprint) time.Time {
	since, ok := r.current[f]
	if !ok {
		since, ok = r.previous[f]
	}
	if !ok {
		return time.Time{}
	}
	return r.start.Add(since)
}
