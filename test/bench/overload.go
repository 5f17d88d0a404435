package main

import (
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
)

// overload measures answers within their deadline at 3 times capacity, to those at capacity and to queues that
// are bounded in length only.
func overload(h *harness) ([]result, error) {
	const capacity = 32 / 0.21 // requests a second
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
	early := 1 - float64(ours.lateRefs)/float64(max(1, ours.notRun))
	return []result{
		{"answers in time at 3x, to those at capacity", "1/s", atCapacity.rate, ours.rate, ">=0.95x", ours.rate >= 0.95*atCapacity.rate},
		{"answers in time at 3x, to a bounded FIFO", "1/s", base.rate, ours.rate, ">1x", ours.rate > base.rate},
		{"answers late or failed at 3x, to a bounded FIFO", "count", float64(base.late), float64(ours.late), "few", ours.late < 20},
		{"refusals within half the deadline", "part", 1 - float64(base.lateRefs)/float64(max(1, base.notRun)), early, ">0.95", early > 0.95},
	}, err
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
	l.Engines[s.Groups[0].VMs[0]].SlowdownFactor.Store(5)
	lat := newLatencies()
	c := lab.NewCaller("donors-caller-token")
	const load = 0.8 * (24/0.21 + 8/1.05) // of 3 quick groups and a slow one
	start := time.Now()
	openLoop(load, 10*time.Second, func(n int) {
		reply := c.Complete(nodes[n%2].Settings.CallerAddress, lab.Completion{Model: letters, Prompt: "s", Tokens: 20})
		if reply.Complete && time.Since(start) > 3*time.Second {
			lat.add(reply.FirstToken)
		}
	})
	oracle := oracleFirstToken(load)
	rows := []result{}
	for _, base := range []struct {
		name string
		pick choice
	}{{"random", randomChoice()}, {"round robin", roundRobin}, {"least load known a second late", leastKnown}} {
		p99 := modelFirstToken(load, base.pick).ms(99)
		rows = append(rows, result{"p99 first token, to " + base.name + " (modelled)", "ms", p99, lat.ms(99), "<1x", lat.ms(99) < p99})
	}
	return append(rows, []result{
		{"p50 first token, one replica 5x slower", "ms", oracle.ms(50), lat.ms(50), "-", true},
		{"p99 first token, one replica 5x slower", "ms", oracle.ms(99), lat.ms(99), "<=1.3x", lat.ms(99) <= 1.3*oracle.ms(99)},
	}...), nil
}
