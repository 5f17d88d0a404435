package main

import (
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// retries measures failures that callers see and extra attempts, with one replica or all of them failing.
func retries(h *harness) ([]result, error) {
	one, attempts, err := h.failing(1)
	if err != nil {
		return nil, err
	}
	_, all, err := h.failing(4)
	return []result{
		{"failures seen, one of 4 replicas failing", "part", 0.25, one, "<0.001", one < 0.001},
		{"attempts a request, one of 4 failing", "ratio", 1, attempts, "<1.1", attempts < 1.1},
		{"attempts a request, all failing", "ratio", 1, all, "<1.1", all < 1.1},
	}, err
}

// failing returns the part of requests that fail and the attempts each, with that many groups failing.
func (h *harness) failing(groups int) (failed, attempts float64, err error) {
	l, nodes, err := h.start(h.small(), 2, 4)
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
	var bad, total atomic.Int64
	c := lab.NewCaller("donors-caller-token")
	openLoop(60, 20*time.Second, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "r", Tokens: 10})
		if !reply.Complete {
			bad.Add(1)
		}
		total.Add(1)
	})
	tried := int64(0)
	for _, e := range l.Engines {
		tried += e.Requests.Load()
	}
	return float64(bad.Load()) / float64(total.Load()), float64(tried) / float64(total.Load()), nil
}
