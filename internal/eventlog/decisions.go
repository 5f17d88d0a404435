package eventlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// Limits bound what is logged of requests.
type Limits struct {
	SampleOneIn int     // of the requests' ids; the same ids at every node
	Failures    float64 // lines a second of failures that are not sampled
}

// DefaultLimits log all of one request in 20, and failures up to 20 lines a second.
var DefaultLimits = Limits{SampleOneIn: 20, Failures: 20}

// Decisions logs the decisions on requests. The lines of a sampled request are whole; of the others only
// failures are logged, up to a rate, and what was left out is counted.
type Decisions struct {
	logger  log.Logger
	limits  Limits
	limiter *rate.Limiter

	mu      sync.Mutex
	leftOut int64
	told    time.Time
}

// NewDecisions returns a Decisions that writes to logger.
func NewDecisions(logger log.Logger, limits Limits) *Decisions {
	return &Decisions{logger: logger, limits: limits, limiter: rate.NewLimiter(rate.Limit(limits.Failures), int(limits.Failures)+1)}
}

// Decision logs one decision on the request; pairs are names and values.
func (d *Decisions) Decision(id, event string, failure bool, pairs ...any) {
	sampled := d.limits.SampleOneIn <= 1 || xxhash.Sum64String(id)%uint64(d.limits.SampleOneIn) == 0
	if !sampled && (!failure || !d.limiter.Allow()) {
		if failure {
			d.leave()
		}
		return
	}
	line := append([]any{"msg", event, "request", id}, pairs...)
	if failure {
		_ = level.Warn(d.logger).Log(line...)
		return
	}
	_ = level.Info(d.logger).Log(line...)
}

// leave counts a failure that is not logged, and tells the count once a second.
func (d *Decisions) leave() {
	d.mu.Lock()
	d.leftOut++
	n := d.leftOut
	due := time.Since(d.told) > time.Second
	if due {
		d.told = time.Now()
		d.leftOut = 0
	}
	d.mu.Unlock()
	if due {
		_ = level.Warn(d.logger).Log("msg", "failures not logged", "count", n)
	}
}
