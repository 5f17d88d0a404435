package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	// acceptPart is the part of the grace during which callers who hold an earlier answer are still served.
	acceptPart = 0.45
	// finishPart is the part of the grace by which what has begun should have finished.
	finishPart = 0.94
)

// leave stops taking callers, first new ones, and waits until what has begun has finished.
func (n *Server) leave(callers *http.Server) {
	since := clock.Now()
	n.leaving.Store(true)
	n.gossip.Kick()
	_ = level.Info(n.logger).Log("msg", "stopping", "grace_ms", n.settings.GraceMS)
	grace := n.settings.Grace()
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	ctx, cancel := clock.WithDeadline(context.Background(), since.Add(time.Duration(finishPart*float64(grace))))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = level.Warn(n.logger).Log("msg", "requests cut off by the end of the grace", "err", err)
	}
}
