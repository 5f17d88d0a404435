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
	Failures    float64 // lines a second of remarkable requests that are not sampled
}

// DefaultLimits log all of one request in 20, and of the remarkable ones up to 20 lines a second.
var DefaultLimits = Limits{SampleOneIn: 20, Failures: 20}

// storyBurst is how many seconds of the rate of lines may be used at once: when a replica group is lost, all requests
// that it had end remarkably within a second.
const storyBurst = 5

// Decisions logs the decisions on requests. A sampled request's lines are written as they come. Those of another one are
// kept until it ends, and written then if it ended remarkably, up to a rate; what was left out is counted.
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
	burst := int(storyBurst*limits.Failures) + 1
	return &Decisions{logger: logger, limits: limits, limiter: rate.NewLimiter(rate.Limit(limits.Failures), burst)}
}

// Request begins the story of a request.
func (d *Decisions) Request(id string) *Story {
	sampled := d.limits.SampleOneIn <= 1 || xxhash.Sum64String(id)%uint64(d.limits.SampleOneIn) == 0
	return &Story{log: d, id: id, sampled: sampled, began: time.Now()}
}

// write logs one line.
func (d *Decisions) write(l line) {
	if l.failure {
		_ = level.Warn(d.logger).Log(l.pairs...)
		return
	}
	_ = level.Info(d.logger).Log(l.pairs...)
}

// leave counts the lines of a remarkable request that are not logged, and tells the count once a second.
func (d *Decisions) leave(lines int) {
	d.mu.Lock()
	d.leftOut += int64(lines)
	n := d.leftOut
	due := time.Since(d.told) > time.Second
	if due {
		d.told = time.Now()
		d.leftOut = 0
	}
	d.mu.Unlock()
	if due {
		_ = level.Warn(d.logger).Log("msg", "request lines not logged", "count", n)
	}
}
