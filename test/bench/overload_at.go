package main

import (
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// loadCounts are the requests of one run at a fixed rate.
type loadCounts struct {
	rate             float64 // answers within their deadline a second
	late             int64   // answered late or failed
	notRun, lateRefs int64   // refused as not run, and of them after half the deadline
}

// loadAt sends requests with a deadline of a second at a rate for a while.
func (h *harness) loadAt(perSecond float64, tunes ...lab.SettingsOption) (loadCounts, error) {
	l, nodes, err := h.start(h.small(), 2, 4, tunes...)
	if err != nil {
		return loadCounts{}, err
	}
	defer l.Close()
	var good, late, notRun, lateRefs atomic.Int64
	c := lab.NewCaller("donors-caller-token")
	const length = 8 * time.Second
	openLoop(perSecond, length, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "o", Tokens: 20, DeadlineMS: 1000})
		switch {
		case reply.Complete && reply.Duration < 1050*time.Millisecond:
			good.Add(1)
		case reply.Verdict == "not-run" && reply.RetryAfter != "":
			notRun.Add(1)
			if reply.Duration > 500*time.Millisecond {
				lateRefs.Add(1)
			}
		default:
			late.Add(1)
		}
	})
	return loadCounts{float64(good.Load()) / length.Seconds(), late.Load(), notRun.Load(), lateRefs.Load()}, nil
}
