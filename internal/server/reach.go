package server

import (
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/reach"
)

// setUpReach creates the parts that connect to endpoints.
func (n *Server) setUpReach() {
	n.reach = &reach.Monitor{Dial: n.transport.Endpoints, Sample: n.sampleEndpoints, OnChange: n.logIsolation}
	dialer := &reach.Dialer{Monitor: n.reach}
	n.calls.DialEndpoint = dialer.Dial
}

// sampleEndpoints returns the addresses of up to count listed endpoints, chosen at random, other than the given address.
func (n *Server) sampleEndpoints(except string, count int) []string {
	var out []string
	for _, e := range n.directory.Read().Endpoints { // in random order
		if len(out) == count {
			break
		}
		if e.Address != except && !e.Draining {
			out = append(out, e.Address)
		}
	}
	return out
}

// logIsolation logs that this node has lost its path to all endpoints, or has it back.
func (n *Server) logIsolation(isolated bool) {
	if isolated {
		_ = level.Warn(n.logger).Log("msg", "no endpoint can be reached from this node", "endpoints", len(n.directory.Read().Endpoints))
		return
	}
	_ = level.Info(n.logger).Log("msg", "endpoints can be reached from this node again")
}
