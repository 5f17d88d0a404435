package gateway

import (
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	// stopShortage is the key of the shortage at a node that is stopping while no other node accepts requests.
	stopShortage = "stop"
	// elsewhereRetryAfter is the least Retry-After of requests that other nodes accept.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// ErrStopping is the cause with which the contexts of requests are cancelled when this process ends before they do.
var ErrStopping = errors.New("this node is stopping")

// errNoTime means that a request that has not been sent may last longer than this node.
var errNoTime = errors.New("this node is stopping and may end before the request; use another one")

// Stop is the planned stop of this process.
type Stop struct {
	End       time.Time // when the requests that still run are ended; zero unless the process is stopping
	Elsewhere bool      // another node accepts requests
	// Wait is how long callers should wait before they go to another node: longer if more of the nodes whose addresses they hold are
	// stopping, too.
	Wait time.Duration
}

// leavesTime reports whether a request with the given deadline ends before the process does. How long it is likely to take does not
// matter: its endpoint may be silent until the deadline.
func (s Stop) leavesTime(deadline time.Time) bool { return s.End.IsZero() || !deadline.After(s.End) }

// RefuseUnread refuses a request through x if this node is stopping and may end before the request, and reports whether it did. The
// body of the request need not have been read.
func (g *Gateway) RefuseUnread(r *Request, x Exchange) bool {
	stop := g.Stop()
	table, _ := g.Configuration()
	if stop.End.IsZero() || table == nil {
		return false
	}
	matched := table.Match(r.Host, r.Path)
	if matched == nil || stop.leavesTime(r.deadline(matched)) {
		return false
	}
	g.RefuseStopping(r, x)
	return true
}

// RefuseStopping refuses a request through x because this node is stopping. The request must not have been sent.
func (g *Gateway) RefuseStopping(r *Request, x Exchange) {
	a := &activeRequest{gateway: g, request: r, exchange: x, requestLog: g.RequestLog(r.ID)}
	defer a.finish()
	a.refuseStopping()
}

// refuseStopping refuses a request that has not been sent because this node is stopping.
func (a *activeRequest) refuseStopping() {
	g := a.gateway
	stop := g.Stop()
	after := max(elsewhereRetryAfter, stop.Wait)
	if !stop.Elsewhere {
		after = g.shortages.recordRefusal(stopShortage, clock.Now())
	}
	a.endCause = endedByStop
	g.metrics.refusedStopping.Inc(1)
	a.refuse(Refusal{Reason: NotRun, Detail: errNoTime.Error(), RetryAfter: addJitter(after)})
}

// leavesTime reports whether the request ends before this process does.
func (a *activeRequest) leavesTime() bool { return a.gateway.Stop().leavesTime(a.deadline) }
