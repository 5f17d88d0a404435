package server

import (
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/ratelimit"
)

// limitChanged logs that an endpoint names another limit than before, or none any more, and tells the others at once.
func (n *Server) limitChanged(endpoint string, l ratelimit.Limit) {
	_ = level.Info(n.logger).Log("msg", "endpoint limit", "endpoint", endpoint, "named", l.Named, "per_second", l.PerSecond)
	n.gossip.Kick()
}
