package server

import (
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/ratelimit"
)

// limitChanged logs that an endpoint has changed or withdrawn the rate limit that it sets, and notifies the other nodes at
// once.
func (n *Server) limitChanged(endpoint string, l ratelimit.Limit) {
	_ = level.Info(n.logger).Log("msg", "endpoint limit", "endpoint", endpoint, "named", l.Named, "per_second", l.PerSecond)
	n.gossip.Kick()
}
