package server

import (
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
)

// maxUnfinishedLines bounds the requests that are named in the log when the grace period ends before they do.
const maxUnfinishedLines = 100

// logStopping logs what runs when this node is told to stop: its own requests, for how long the last of them may run, how many of them
// may run beyond end, by when they should have finished, and the connections that it carries for other nodes.
func (n *Server) logStopping(end time.Time) {
	running := n.gateway.Running()
	var longest time.Duration
	beyond := 0
	for _, r := range running {
		longest = max(longest, clock.Until(r.Deadline))
		if r.Deadline.After(end) {
			beyond++
		}
	}
	_ = level.Info(n.logger).Log("msg", "stopping", "grace_ms", n.settings.GraceMS, "requests", len(running), "longest_ms", longest.Milliseconds(),
		"beyond_grace", beyond, "tunnels", n.tunnels.Open())
}

// logUnfinished logs what still runs at the end of the grace period.
func (n *Server) logUnfinished() {
	running := n.gateway.Running()
	_ = level.Warn(n.logger).Log("msg", "grace period ended before all requests had finished", "requests", len(running), "tunnels", n.tunnels.Open())
	for _, r := range running[:min(len(running), maxUnfinishedLines)] {
		_ = level.Warn(n.logger).Log("msg", "request ended by the stop", "request", r.ID, "route", r.Route, "age_ms", clock.Since(r.Received).Milliseconds(),
			"left_ms", clock.Until(r.Deadline).Milliseconds())
	}
}
