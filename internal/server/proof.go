package server

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
)

// proofWatchEvery is how often the age of the configuration's proof is looked at; it only delays a line in the log.
const proofWatchEvery = 250 * time.Millisecond

// watchProof logs when the configuration in force is not proved current any more and when it is again, until ctx
// ends. Whether requests are served meanwhile is decided where they are let in.
func (n *Server) watchProof(ctx context.Context) error {
	stale := false
	loop.Every(ctx, proofWatchEvery, func(now time.Time) {
		t := n.table.Load()
		if t == nil {
			return
		}
		age := now.Sub(n.follower.Current(keys.Accepted))
		if was := stale; was == (age > n.settings.CredentialProof()) {
			return
		}
		stale = !stale
		logger, event := level.Info(n.logger), "configuration is proved current again"
		if stale {
			logger, event = level.Warn(n.logger), "configuration is not proved current"
		}
		_ = logger.Log("msg", event, "version", t.Version, "revision", t.Revision, "age_ms", age.Milliseconds(),
			"credentials_count", !stale || !n.settings.CredentialProofRequired)
	})
	return nil
}
