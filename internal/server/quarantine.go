package server

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/quarantine"
)

// setUpQuarantine creates the parts that detect and hold back requests that cause endpoints to end.
func (n *Server) setUpQuarantine() {
	n.quarantine = quarantine.NewTable()
	n.quarantine.OnHeld = n.logHeld
	n.gossip.Quarantine = n.quarantine
	endings := n.scope.Counter("endpoint_endings")
	n.investigator = &quarantine.Investigator{
		Table: n.quarantine, Directory: n.directory, Probe: n.probeEndpoint, Logger: n.logger,
		OnEnding: func(held bool) {
			endings.Inc(1)
			if held {
				n.gossip.Kick()
			}
		},
	}
	n.holdSyncer = &quarantine.HoldSyncer{
		Table: n.quarantine, Objects: n.platform.Objects, Recent: n.platform.Recent, Logger: n.logger, FirstStart: n.settings.FirstStart,
		LeaderEpoch: func(now time.Time) int64 { return n.controller.Leads(now) },
		HasNoPeers:  func(now time.Time) bool { return len(n.gossip.Live(now)) == 0 },
	}
}

// probeEndpoint asks an endpoint whether it is alive.
func (n *Server) probeEndpoint(ctx context.Context, e *endpoint.Endpoint) quarantine.ProbeResult {
	switch answer := n.platform.Engine.Probe(ctx, e); {
	case answer.Heard():
		return quarantine.Alive
	case answer == formation.Replaced, answer == formation.ConnectionRefused && n.askPeers(ctx, e) == formation.Unreachable:
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}

// logHeld logs that a request is held back from now on, whichever node has found it.
func (n *Server) logHeld(r quarantine.Record) {
	_ = level.Warn(n.logger).Log("msg", "request is held back", "fingerprint", r.Fingerprint, "endings", len(r.Endings), "hold_ms", r.Hold.Milliseconds())
}
