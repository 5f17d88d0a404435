package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

const receiptsPath = "/services/receipts/receipts"

// atMostOnce sends calls that must run at most once while faults are injected, retries each through other addresses until its
// outcome is known, and counts the runs at the endpoints. The baseline retries without an idempotency key.
func atMostOnce(h *harness) ([]result, error) {
	base, err := h.countOutcomes(false)
	if err != nil {
		return nil, err
	}
	ours, err := h.countOutcomes(true)
	if err != nil {
		return nil, err
	}
	all := float64(ours.calls)
	return []result{
		{"calls that ran twice or more", "count", float64(base.repeated), float64(ours.repeated), "0", ours.repeated == 0},
		{"said not run, and ran", "count", float64(base.falseNotRun), float64(ours.falseNotRun), "0", ours.falseNotRun == 0},
		{"answers cut by endpoints after a run", "part", float64(base.cut) / float64(base.calls), float64(ours.cut) / all, "-", true},
		{"calls that end as may have run", "part", float64(base.unknown) / float64(base.calls), float64(ours.unknown) / all, "low", float64(ours.unknown)/all < 0.05},
		{"calls that end with their answer", "part", float64(base.answered) / float64(base.calls), float64(ours.answered) / all, ">0.95", float64(ours.answered)/all > 0.95},
	}, nil
}

// outcomeCounts counts calls by outcome. falseNotRun are those reported as not run that ran; cut are those whose answer an
// endpoint cut off after running them.
type outcomeCounts struct{ calls, repeated, falseNotRun, unknown, answered, cut int64 }

// countOutcomes sends calls at a rate while nodes are killed and paused, answers are cut off and the store is unavailable.
func (h *harness) countOutcomes(withKey bool) (outcomeCounts, error) {
	l, nodes, err := h.start(h.smallOptions(), 3, 4)
	if err != nil {
		return outcomeCounts{}, err
	}
	defer l.Close()
	const length = 15 * time.Second
	f := &faultInjector{lab: l, nodes: nodes}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { f.run(stop) })
	var counts outcomeCounts
	openLoop(100, length, func(n int) { f.call(n, withKey, &counts) })
	close(stop)
	faults.Wait()
	for n := range counts.calls {
		if f.runs(fmt.Sprint("call", n)) > 1 {
			counts.repeated++
		}
	}
	for _, p := range l.PlainEndpoints {
		counts.cut += p.Aborted.Load()
	}
	return counts, nil
}

// faultInjector injects faults into a lab in a fixed order, and gives callers the current addresses of nodes that are restarted.
type faultInjector struct {
	lab   *lab.Lab
	mu    sync.Mutex
	nodes []*lab.Node
}

func (f *faultInjector) address(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i%len(f.nodes)].Settings.CallerAddress
}

func (f *faultInjector) run(stop <-chan struct{}) {
	const pause = 700 * time.Millisecond
	for round := 0; ; round++ {
		select {
		case <-stop:
			f.lab.Objects.Down.Store(false)
			return
		case <-time.After(pause):
		}
		i := round % len(f.nodes)
		switch round % 4 {
		case 0:
			for _, p := range f.lab.PlainEndpoints {
				p.AbortNext.Store(2)
			}
		case 1:
			f.nodes[i].Pause(true)
			time.Sleep(pause)
			f.nodes[i].Pause(false)
		case 2:
			f.lab.Objects.Down.Store(!f.lab.Objects.Down.Load())
		default:
			f.nodes[i].Kill()
			if n, err := f.lab.Restart(f.nodes[i]); err == nil {
				f.mu.Lock()
				f.nodes[i] = n
				f.mu.Unlock()
			}
		}
	}
}

// runs returns how many times a call has run, over all endpoints.
func (f *faultInjector) runs(mark string) int {
	runs := 0
	for _, p := range f.lab.PlainEndpoints {
		runs += p.Runs(mark)
	}
	return runs
}

// call sends one call until its outcome is known, up to six times, and counts the outcome.
func (f *faultInjector) call(n int, withKey bool, counts *outcomeCounts) {
	gifts := lab.NewCaller("gifts-caller-token")
	mark := fmt.Sprint("call", n)
	key := ""
	if withKey {
		prefix := ""
		for attempt := 0; prefix == "" && attempt < 5; attempt++ {
			prefix, _ = gifts.KeyPrefix(f.address(n + attempt))
		}
		key = prefix + "/" + mark
	}
	const maxSends = 6
	var last lab.Reply
	for send := range maxSends {
		last = gifts.CallService(f.address(n+send), http.MethodPost, receiptsPath, mark, key, "1")
		if last.Status == http.StatusOK || withKey && last.Status == http.StatusConflict {
			break // answered, or the outcome cannot be determined
		}
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
	runs := f.runs(mark)
	atomic.AddInt64(&counts.calls, 1)
	switch {
	case last.Verdict == "ran" && last.Status == http.StatusOK:
		atomic.AddInt64(&counts.answered, 1)
	case last.Verdict == "not-run" && runs > 0:
		atomic.AddInt64(&counts.falseNotRun, 1)
	case last.Verdict != "not-run":
		atomic.AddInt64(&counts.unknown, 1)
	}
}
