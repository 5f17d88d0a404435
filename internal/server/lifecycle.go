package server

import (
	"context"
	"net/http"
	"time"

	"moorrun.dev/moorrun/internal/clock"
)

const (
	// acceptFraction is the fraction of the grace period during which requests are still accepted from callers that were given
	// this node's address earlier.
	acceptFraction = 0.45
	// finishFraction is the fraction of the grace period by which running requests should have finished.
	finishFraction = 0.94
)

// leave announces that this node is leaving, so that no new callers are sent to it, later stops accepting requests, and waits
// for running requests to finish, also those that other nodes send through this one.
func (n *Server) leave(callers *http.Server) {
	since := clock.Now()
	n.leaving.Store(true)
	n.gossip.Kick()
	grace := n.settings.Grace()
	n.logStopping(since.Add(time.Duration(finishFraction * float64(grace))))
	time.Sleep(time.Duration(acceptFraction * float64(grace)))
	ctx, cancel := clock.WithDeadline(context.Background(), since.Add(time.Duration(finishFraction*float64(grace))))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.logUnfinished()
	}
	n.tunnels.Wait(ctx)
}
