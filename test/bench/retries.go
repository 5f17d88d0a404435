package main

import (
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// retries measures the failures that callers see and the extra attempts, with one replica or all replicas failing.
func retries(h *harness) ([]result, error) {
	one, attempts, err := h.failureRates(1)
	if err != nil {
		return nil, err
	}
	_, all, err := h.failureRates(4)
	return []result{
		{"failures seen, one of 4 replicas failing", "part", 0.25, one, "<0.001", one < 0.001},
		{"attempts a request, one of 4 failing", "ratio", 1, attempts, "<1.1", attempts < 1.1},
		{"attempts a request, all failing", "ratio", 1, all, "<1.1", all < 1.1},
	}, err
}

// failureRates returns the fraction of requests that fail and the attempts per request, with the given number of groups failing.
func (h *harness) failureRates(groups int) (failed, attempts float64, err error) {
	l, nodes, err := h.start(h.smallOptions(), 2, 4)
	if err != nil {
		return 0, 0, err
	}
	defer l.Close()
	s, err := l.Status()
	if err != nil {
		return 0, 0, err
	}
	for _, g := range s.Groups[:groups] {
		l.Engines[g.VMs[0]].FailAll.Store(true)
	}
	var unsuccessful, total atomic.Int64
	c := lab.NewCaller("donors-caller-token")
	openLoop(60, 20*time.Second, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "r", Tokens: 10})
		if !reply.Complete {
			unsuccessful.Add(1)
		}
		total.Add(1)
	})
	sent := int64(0)
	for _, e := range l.Engines {
		sent += e.Requests.Load()
	}
	return float64(unsuccessful.Load()) / float64(total.Load()), float64(sent) / float64(total.Load()), nil
}
