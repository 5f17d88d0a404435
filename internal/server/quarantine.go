package server

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/quarantine"
)

// isolate puts together what holds back requests that end endpoints.
func (n *Server) isolate() {
	n.quarantine = quarantine.NewTable()
	n.quarantine.OnHeld = n.toldHeld
	n.gossip.Quarantine = n.quarantine
	endings := n.scope.Counter("endpoint_endings")
	n.inquiry = &quarantine.Inquiry{
		Table: n.quarantine, Directory: n.directory, Ask: n.findOut, Logger: n.logger,
		Noted: func(held bool) {
			endings.Inc(1)
			if held {
				n.gossip.Kick()
			}
		},
	}
	n.holds = &quarantine.Keeper{
		Table: n.quarantine, Objects: n.platform.Objects, Recent: n.platform.Recent, Logger: n.logger, FirstStart: n.settings.FirstStart,
		Leads: func(now time.Time) int64 { return n.controller.Leads(now) },
		Alone: func(now time.Time) bool { return len(n.gossip.Live(now)) == 0 },
	}
}

// findOut asks an endpoint whether it lives.
func (n *Server) findOut(ctx context.Context, e *endpoint.Endpoint) quarantine.Finding {
	switch answer := n.platform.Engine.Ask(ctx, e); {
	case answer.Heard():
		return quarantine.Alive
	case answer == formation.NobodyThere:
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}

// toldHeld logs that a request is held back from now on, whoever has found it.
func (n *Server) toldHeld(r quarantine.Record) {
	_ = level.Warn(n.logger).Log("msg", "request is held back", "fingerprint", r.Fingerprint, "endings", len(r.Endings), "hold_ms", r.Hold.Milliseconds())
}
