package eventlog

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// Limits bound how many decisions on requests are logged.
type Limits struct {
	SampleOneIn int     // one in this many requests is sampled, by a hash of the ID, so that all nodes sample the same IDs
	Failures    float64 // lines per second for notable requests that are not sampled
}

// DefaultLimits log one request in 20 in full, and up to 20 lines per second for other requests that are notable.
var DefaultLimits = Limits{SampleOneIn: 20, Failures: 20}

// burstSeconds is the burst of the line rate limit, in seconds' worth of lines: when a replica group is lost, all of its requests
// end as notable ones within a second.
const burstSeconds = 5

// Decisions logs the decisions on requests. The lines of a sampled request are written immediately. Those of other requests are
// buffered until the request ends, and written then, up to a rate, if the request is notable. Lines left out are counted.
type Decisions struct {
	logger  log.Logger
	limits  Limits
	limiter *rate.Limiter

	mu           sync.Mutex
	unlogged     int64
	lastReported time.Time
}

// NewDecisions returns a Decisions that writes to logger.
func NewDecisions(logger log.Logger, limits Limits) *Decisions {
	burst := int(burstSeconds*limits.Failures) + 1
	return &Decisions{logger: logger, limits: limits, limiter: rate.NewLimiter(rate.Limit(limits.Failures), burst)}
}

// Request returns the log of a request that begins now.
func (d *Decisions) Request(id string) *RequestLog {
	sampled := d.limits.SampleOneIn <= 1 || xxhash.Sum64String(id)%uint64(d.limits.SampleOneIn) == 0
	return &RequestLog{log: d, id: id, sampled: sampled, start: time.Now()}
}

// write logs one line, at level warn for failures and at level info otherwise.
func (d *Decisions) write(l line) {
	if l.failure {
		_ = level.Warn(d.logger).Log(l.keyvals...)
		return
	}
	_ = level.Info(d.logger).Log(l.keyvals...)
}

// countUnlogged counts lines of a notable request that are not logged. It logs the count at most once per second.
func (d *Decisions) countUnlogged(lines int) {
	d.mu.Lock()
	d.unlogged += int64(lines)
	n := d.unlogged
	due := time.Since(d.lastReported) > time.Second
	if due {
		d.lastReported = time.Now()
		d.unlogged = 0
	}
	d.mu.Unlock()
	if due {
		_ = level.Warn(d.logger).Log("msg", "request lines not logged", "count", n)
	}
}
