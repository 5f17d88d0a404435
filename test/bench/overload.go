package main

import (
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
)

// overload measures the answers within their deadline at 3 times the capacity. The baselines are the load at capacity, and queues
// that are bounded only in length.
func overload(h *harness) ([]result, error) {
	const capacity = 32 / 0.21 // requests per second: 32 places, 0.21 s per request
	fifo := func(s *settings.Settings) { s.QueuePolicy = settings.QueueFIFO }
	atCapacity, err := h.loadAt(0.95 * capacity)
	if err != nil {
		return nil, err
	}
	base, err := h.loadAt(3*capacity, fifo)
	if err != nil {
		return nil, err
	}
	ours, err := h.loadAt(3 * capacity)
	earlyRefusals := 1 - float64(ours.lateRefusals)/float64(max(1, ours.notRun))
	return []result{
		{"answers in time at 3x, to those at capacity", "1/s", atCapacity.inTimePerSecond, ours.inTimePerSecond, ">=0.95x", ours.inTimePerSecond >= 0.95*atCapacity.inTimePerSecond},
		{"answers in time at 3x, to a bounded FIFO", "1/s", base.inTimePerSecond, ours.inTimePerSecond, ">1x", ours.inTimePerSecond > base.inTimePerSecond},
		{"answers late or failed at 3x, to a bounded FIFO", "count", float64(base.late), float64(ours.late), "few", ours.late < 20},
		{"refusals within half the deadline", "part", 1 - float64(base.lateRefusals)/float64(max(1, base.notRun)), earlyRefusals, ">0.95", earlyRefusals > 0.95},
	}, err
}

// slowReplica measures the p50 and p99 time to first token at 80 % load with one replica five times slower.
func slowReplica(h *harness) ([]result, error) {
	l, nodes, err := h.start(h.smallOptions(), 2, 4)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	s, err := l.Status()
	if err != nil {
		return nil, err
	}
	l.Engines[s.Groups[0].VMs[0]].SlowdownFactor.Store(5)
	lat := newLatencies()
	c := lab.NewCaller("donors-caller-token")
	const load = 0.8 * (24/0.21 + 8/1.05) // of the capacity of three fast groups and a slow one
	start := time.Now()
	openLoop(load, 10*time.Second, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: lettersModel, Prompt: "s", Tokens: 20})
		if reply.Complete && time.Since(start) > 3*time.Second {
			lat.add(reply.FirstToken)
		}
	})
	oracle := oracleFirstToken(load)
	rows := []result{}
	for _, base := range []struct {
		name string
		pick policy
	}{{"random", randomPolicy()}, {"round robin", roundRobin}, {"least load known a second late", leastLoadedByStaleReport}} {
		p99 := simulateFirstToken(load, base.pick).percentileMS(99)
		rows = append(rows, result{"p99 first token, to " + base.name + " (modelled)", "ms", p99, lat.percentileMS(99), "<1x", lat.percentileMS(99) < p99})
	}
	return append(rows, []result{
		{"p50 first token, one replica 5x slower", "ms", oracle.percentileMS(50), lat.percentileMS(50), "-", true},
		{"p99 first token, one replica 5x slower", "ms", oracle.percentileMS(99), lat.percentileMS(99), "<=1.3x", lat.percentileMS(99) <= 1.3*oracle.percentileMS(99)},
	}...), nil
}
