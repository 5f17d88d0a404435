package tunnel

import (
	"net"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the log: a node that dies breaks all tunnels through it at the same moment.
	linesPerSecond = 1
	lineBurst      = 10
)

// Reporter counts the ends of tunnels and logs those that broke between the nodes.
type Reporter struct {
	logger  log.Logger
	limiter *rate.Limiter
	relayed map[End]tally.Counter
	dialed  map[End]tally.Counter
	rejects tally.Counter
}

// NewReporter returns a Reporter with the counters tunnel_ends, of tunnels through this node, detour_ends, of those that this node
// has opened, and peer_connections_rejected.
func NewReporter(scope tally.Scope, logger log.Logger) *Reporter {
	return &Reporter{
		logger: logger, limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		relayed: counters(scope, "tunnel_ends", RelayEnds), dialed: counters(scope, "detour_ends", DialerEnds),
		rejects: scope.Counter("peer_connections_rejected"),
	}
}

func counters(scope tally.Scope, name string, ends []End) map[End]tally.Counter {
	out := make(map[End]tally.Counter, len(ends))
	for _, e := range ends {
		out[e] = scope.Tagged(map[string]string{"end": string(e)}).Counter(name)
	}
	return out
}

// RelayEnded records the end of a tunnel through this node.
func (r *Reporter) RelayEnded(e End) { r.relayed[e].Inc(1) }

// DetourEnded records the end of a tunnel that this node has opened to the endpoint at address.
func (r *Reporter) DetourEnded(peer, address string, e End, err error) {
	r.dialed[e].Inc(1)
	if e == TunnelBroke && r.limiter.Allow() {
		_ = level.Warn(r.logger).Log("msg", "connection through another node broke", "peer", peer, "address", address, "err", err)
	}
}

// Rejected records a connection from remote that was closed because of its first bytes.
func (r *Reporter) Rejected(remote net.Addr, err error) {
	r.rejects.Inc(1)
	if r.limiter.Allow() {
		_ = level.Warn(r.logger).Log("msg", "connection of another node rejected", "remote", remote, "err", err)
	}
}
