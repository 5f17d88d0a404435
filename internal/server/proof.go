package server

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/route"
)

// proofCheckInterval is the interval at which the age of the configuration's proof is checked; it only delays a log line.
const proofCheckInterval = 250 * time.Millisecond

// setUpProof prepares the proof of what this process goes by below a prefix.
func (n *Server) setUpProof(p *appliedProof, prefix string) {
	p.copied = func() time.Time { return n.follower.Current(prefix) }
	p.sequence = func() uint64 { return n.follower.Mirror.Sequence() }
	p.applied = n.appliedSequence.Load
}

// configuration returns the configuration in force, or nil if there is none yet, and a time as of which it is certainly current.
func (n *Server) configuration() (t *route.Table, provedAt time.Time) {
	provedAt = n.configurationProof.current() // read first: the configuration is then at least as new as what the proof covers
	return n.table.Load(), provedAt
}

// monitorProof logs when the store has come back from a copy, when the configuration in force is no longer proved current and when it is again, until ctx ends. The
// gateway decides whether requests are served in the meantime.
func (n *Server) monitorProof(ctx context.Context) error {
	stale := false
	var era int64
	eraKnown := false
	loop.Every(ctx, proofCheckInterval, func(now time.Time) {
		t, provedAt := n.configuration()
		if t == nil {
			return
		}
		current := n.platform.Era()
		if eraKnown && current != era {
			_ = level.Warn(n.logger).Log("msg", "the store came back from a copy", "era", current, "before", era)
		}
		era, eraKnown = current, true
		age := now.Sub(provedAt)
		if was := stale; was == (age > n.settings.ProofLimit()) {
			return
		}
		stale = !stale
		logger, event := level.Info(n.logger), "configuration is proved current again"
		if stale {
			logger, event = level.Warn(n.logger), "configuration is not proved current"
		}
		_ = logger.Log("msg", event, "version", t.Version, "revision", infra.RevisionOf(t.Revision), "age_ms", age.Milliseconds(),
			"credentials_count", !stale || !n.settings.CredentialProofRequired)
	})
	return nil
}
