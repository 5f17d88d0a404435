package main

import (
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// loadCounts counts the requests of one run at a fixed rate by outcome.
type loadCounts struct {
	inTimePerSecond      float64 // answers within the deadline, per second
	late                 int64   // answered late or failed
	notRun, lateRefusals int64   // refused as not run, and those of them refused after half the deadline
}

// loadAt sends requests with a deadline of one second at a rate for eight seconds.
func (h *harness) loadAt(perSecond float64, tunes ...lab.SettingsOption) (loadCounts, error) {
	l, nodes, err := h.start(h.smallOptions(), 2, 4, tunes...)
	if err != nil {
		return loadCounts{}, err
	}
	defer l.Close()
	var inTime, late, notRun, lateRefusals atomic.Int64
	c := lab.NewCaller("donors-caller-token")
	const length = 8 * time.Second
	openLoop(perSecond, length, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "o", Tokens: 20, DeadlineMS: 1000})
		switch {
		case reply.Complete && reply.Duration < 1050*time.Millisecond:
			inTime.Add(1)
		case reply.Verdict == "not-run" && reply.RetryAfter != "":
			notRun.Add(1)
			if reply.Duration > 500*time.Millisecond {
				lateRefusals.Add(1)
			}
		default:
			late.Add(1)
		}
	})
	return loadCounts{float64(inTime.Load()) / length.Seconds(), late.Load(), notRun.Load(), lateRefusals.Load()}, nil
}
