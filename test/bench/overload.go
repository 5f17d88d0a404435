package main

import (
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// overload measures answers within their deadline at 3 times capacity, to those at capacity.
func overload(h *harness) ([]result, error) {
	const capacity = 32 / 0.21 // requests a second
	rows := make([]result, 0, 2)
	var rates [2]float64
	var wrong, early float64
	for i, factor := range []float64{0.95, 3} {
		l, nodes, err := h.start(h.small(), 2, 4)
		if err != nil {
			return nil, err
		}
		var good, notRun, unnamed, refusedLate atomic.Int64
		c := lab.NewCaller("donors-caller-token")
		const length = 8 * time.Second
		openLoop(capacity*factor, length, func(n int) {
			reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "o", Tokens: 20, DeadlineMS: 1000})
			switch {
			case reply.Whole && reply.Took < 1050*time.Millisecond:
				good.Add(1)
			case reply.Verdict == "not-run" && reply.RetryAfter != "":
				notRun.Add(1)
				if reply.Took > 500*time.Millisecond {
					refusedLate.Add(1)
				}
			default:
				unnamed.Add(1)
			}
		})
		rates[i] = float64(good.Load()) / length.Seconds()
		if i == 1 {
			wrong = float64(unnamed.Load())
			early = 1 - float64(refusedLate.Load())/float64(max(1, notRun.Load()))
		}
		l.Close()
	}
	rows = append(rows,
		result{"answers in time at 3x, to those at capacity", "1/s", rates[0], rates[1], ">=0.95x", rates[1] >= 0.95*rates[0]},
		result{"answers late or failed at 3x", "count", 0, wrong, "few", wrong < 20},
		result{"refusals within half the deadline", "part", 0, early, ">0.95", early > 0.95})
	return rows, nil
}

// slowReplica measures p99 first token with one replica five times slower, at 80 % load.
func slowReplica(h *harness) ([]result, error) {
	l, nodes, err := h.start(h.small(), 2, 4)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	s, err := l.Status()
	if err != nil {
		return nil, err
	}
	l.Engines[s.Groups[0].VMs[0]].Slowness.Store(5)
	lat := newLatencies()
	c := lab.NewCaller("donors-caller-token")
	const load = 0.8 * (24/0.21 + 8/1.05) // of 3 quick groups and a slow one
	start := time.Now()
	openLoop(load, 10*time.Second, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "s", Tokens: 20})
		if reply.Whole && time.Since(start) > 3*time.Second {
			lat.add(reply.FirstToken)
		}
	})
	oracle := oracleFirstToken(load)
	return []result{
		{"p50 first token, one replica 5x slower", "ms", oracle.ms(50), lat.ms(50), "-", true},
		{"p99 first token, one replica 5x slower", "ms", oracle.ms(99), lat.ms(99), "<=1.3x", lat.ms(99) <= 1.3*oracle.ms(99)},
	}, nil
}
