package node

import (
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/quarantine"
)

// setUpQuarantine creates the parts that keep what is known of requests that end engines.
func (n *Node) setUpQuarantine() {
	n.fleet.Quarantine.OnHeld = n.logHeld
	n.fleet.Quarantine.MayTry = func(quarantine.Fingerprint) bool { return n.leases.holdsAny() }
	n.holdSyncer = &quarantine.HoldSyncer{
		Table: n.fleet.Quarantine, Objects: n.objects, Recent: n.objects.List, Logger: n.logger,
		LeaderEpoch: n.holderEpoch,
		HasNoPeers:  func(now time.Time) bool { return len(n.fleet.Members.Live(now)) == 1 },
	}
}

// holderEpoch returns 1 while this node holds the lease of a data centre, and 0 otherwise. The holders of several leases write the
// same list; one that finds it changed reads it again.
func (n *Node) holderEpoch(time.Time) int64 {
	if n.leases.holdsAny() {
		return 1
	}
	return 0
}

// logHeld logs that a request or a part of a prompt is held back from now on, whichever node has found it.
func (n *Node) logHeld(r quarantine.Record) {
	_ = level.Warn(n.logger).Log("msg", r.HeldMessage(), "fingerprint", r.Fingerprint, "endings", len(r.Endings), "hold_ms", r.Hold.Milliseconds())
}
