package server

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/formation"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/quarantine"
)

// setUpQuarantine creates the parts that detect and hold back requests that cause endpoints to end.
func (n *Server) setUpQuarantine() {
	n.quarantine = quarantine.NewTable()
	n.quarantine.OnHeld = n.logHeld
	n.quarantine.MayTry = n.mayTryHeld
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
		Era:         n.platform.Era,
		HasNoPeers:  func(now time.Time) bool { return len(n.gossip.Live(now)) == 0 },
	}
}

// probeEndpoint asks an endpoint whether it is alive.
func (n *Server) probeEndpoint(ctx context.Context, e *endpoint.Endpoint) quarantine.ProbeResult {
	switch answer, _ := n.platform.Engine.Probe(ctx, e); {
	case answer.Heard():
		return quarantine.Alive
	case answer == formation.Replaced, answer == formation.ConnectionRefused && n.askPeers(ctx, e) == formation.Unreachable:
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}

// logHeld logs that a request or a part of a prompt is held back from now on, whichever node has found it.
func (n *Server) logHeld(r quarantine.Record) {
	_ = level.Warn(n.logger).Log("msg", r.HeldMessage(), "fingerprint", r.Fingerprint, "endings", len(r.Endings), "hold_ms", r.Hold.Milliseconds())
}

// mayTryHeld reports whether this is the node that tries a held part of a prompt again. All nodes hear the relays, so they agree
// on it; a node that is no relay never tries, nor does the leader, to which few callers are sent, unless it is alone.
func (n *Server) mayTryHeld(f quarantine.Fingerprint) bool {
	now := clock.Now()
	if !n.gossip.Relaying() {
		return false
	}
	own, leads := tryRank(f, n.gossip.Self().VM), n.controller.Leads(now) > 0
	return !slices.ContainsFunc(n.gossip.Live(now), func(p *gossip.Peer) bool {
		return p.Relay && p.Serving && p.LeaderEpoch == 0 && (leads || tryRank(f, p.VM) > own)
	})
}

// tryRank ranks the VMs that may try a held part again by rendezvous hashing.
func tryRank(f quarantine.Fingerprint, vm string) uint64 {
	return xxhash.Sum64String(f.String() + "/" + vm)
}
