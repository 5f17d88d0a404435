package netconn

import (
	"net"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// linesPerSecond and lineBurst bound the log of failed accepts, of which a busy process without descriptors has many.
const (
	linesPerSecond = 1
	lineBurst      = 5
)

// AcceptReporter counts and logs the errors after which listeners go on.
type AcceptReporter struct {
	scope   tally.Scope
	logger  log.Logger
	limiter *rate.Limiter
}

// NewAcceptReporter returns a reporter with the counter accepts_failed, by listener.
func NewAcceptReporter(scope tally.Scope, logger log.Logger) *AcceptReporter {
	return &AcceptReporter{scope: scope, logger: logger, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Listener returns lis as one that goes on after errors that pass, which are reported under the given name.
func (r *AcceptReporter) Listener(name string, lis net.Listener) net.Listener {
	failed := r.scope.Tagged(map[string]string{"listener": name}).Counter("accepts_failed")
	return &RetryListener{Listener: lis, OnError: func(err error) {
		failed.Inc(1)
		if r.limiter.Allow() {
			_ = level.Warn(r.logger).Log("msg", "connection could not be accepted", "listener", name, "err", err)
		}
	}}
}
