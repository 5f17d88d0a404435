package follow

import (
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/keys"
)

// queryFailures describes the queries to the store that have failed since the last one that was answered.
type queryFailures struct {
	count               int
	firstSent, lastSent time.Time
}

func (f *Follower) proved(prefix string, at time.Time) {
	f.proof.fromStore(prefix, at)
	f.mu.Lock()
	if prefix == keys.Endpoints {
		f.full = true
		f.lastListing = storeListing{at, f.Mirror.Sequence()}
	}
	failures := f.failing[prefix]
	delete(f.failing, prefix)
	now := clock.Now()
	f.lastAnswer = now
	f.mu.Unlock()
	if failures != nil {
		_ = level.Info(f.logger).Log("msg", "dependency regained", "dependency", "store", "prefix", prefix, "failed_queries", failures.count,
			"lost_ms", now.Sub(failures.firstSent).Milliseconds(), "since_last_failed_ms", now.Sub(failures.lastSent).Milliseconds())
	}
}

func (f *Follower) failed(prefix string, sent time.Time, err error) {
	f.mu.Lock()
	failures := f.failing[prefix]
	if failures == nil {
		failures = &queryFailures{firstSent: sent}
		f.failing[prefix] = failures
	}
	failures.count++
	failures.lastSent = sent
	first := failures.count == 1
	f.mu.Unlock()
	if first {
		_ = level.Warn(f.logger).Log("msg", "dependency lost", "dependency", "store", "prefix", prefix, "err", err)
		return
	}
	_ = level.Debug(f.logger).Log("msg", "query failed again", "dependency", "store", "prefix", prefix, "took_ms", clock.Since(sent).Milliseconds(), "err", err)
}

// lastAnswered returns when the store last answered this node.
func (f *Follower) lastAnswered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswer
}

// StoreAnswers reports whether the last queries of this node to the store, one for each prefix, have not failed.
func (f *Follower) StoreAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.failing) == 0
}
